/** Sums of what clients are charged for. */
import { addUsage, noUsage } from '@arbutusloft/protocol'
import type { Usage } from '@arbutusloft/protocol'

/** One line of a client's charges. */
export interface ChargeLine {
  readonly client: string
  /** Model or service. */
  readonly subject: string
  readonly usage: Usage
}

/** Charges by client and subject. */
export class ChargeTable {
  #lines = new Map<string, ChargeLine>()

  /** Adds usage to a client's line. */
  add (client: string, subject: string, usage: Usage): void {
    const key = `${client}\n${subject}`
    const before = this.#lines.get(key)?.usage ?? noUsage
    this.#lines.set(key, { client, subject, usage: addUsage(before, usage) })
  }

  /** All lines, or one client's. */
  lines (client: string | null = null): readonly ChargeLine[] {
    const lines = [...this.#lines.values()]
    return client === null ? lines : lines.filter(line => line.client === client)
  }

  /** Replaces all lines. */
  restore (lines: readonly ChargeLine[]): void {
    this.#lines = new Map()
    for (const line of lines) {
      this.add(line.client, line.subject, line.usage)
    }
  }
}

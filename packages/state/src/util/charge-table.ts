/** Sums of the usage that clients are charged for. */
import { addUsage, noUsage } from '@arbutusloft/protocol'
import type { Usage } from '@arbutusloft/protocol'

/** A client's total usage of one model or service. */
export interface ChargeLine {
  readonly client: string
  /** Name of the model or service. */
  readonly subject: string
  readonly usage: Usage
}

/** Usage sums by client and subject. */
export class ChargeTable {
  #lines = new Map<string, ChargeLine>()

  /** Adds usage to the line of the client and subject. */
  add (client: string, subject: string, usage: Usage): void {
    const key = `${client}\n${subject}`
    const previous = this.#lines.get(key)?.usage ?? noUsage
    this.#lines.set(key, { client, subject, usage: addUsage(previous, usage) })
  }

  /** Returns all lines, or those of one client. */
  lines (client: string | null = null): readonly ChargeLine[] {
    const lines = [...this.#lines.values()]
    return client === null ? lines : lines.filter(line => line.client === client)
  }

  /** Replaces all lines by those of a snapshot. */
  restore (lines: readonly ChargeLine[]): void {
    this.#lines = new Map()
    for (const line of lines) {
      this.add(line.client, line.subject, line.usage)
    }
  }
}

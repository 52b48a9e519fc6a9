/** Detects load on engines that this scheduler did not grant, by the engines' delayed load reports. */
import type { Engine } from '@arbutusloft/adapters'

/** Options of {@link ExternalLoadDetector}. */
export interface ExternalLoadDetectorOptions {
  readonly engine: Engine
  /** Engines that this scheduler owns, by target name and address. */
  readonly ownedEngines: () => ReadonlyArray<{ readonly target: string, readonly address: string }>
  /** Returns the number of permits granted at a target. */
  readonly grantedCount: (target: string) => number
  /** Called after each report with the number of requests that this scheduler did not grant. */
  readonly onExternalLoad: (target: string, requests: number) => void
}

const pollIntervalMilliseconds = 1_000

/** Number of consecutive reports that must show a surplus before it counts. Reports are delayed, so a single one may be wrong. */
const reportsInWindow = 4

interface LoadHistory {
  /** Number of permits granted at each of the last polls. */
  readonly granted: number[]
  /** Reported requests in excess of the granted permits, at each of the last polls. */
  readonly surplus: number[]
}

/** Compares the load that engines report with the permits granted during the reports' delay. */
export class ExternalLoadDetector {
  readonly #histories = new Map<string, LoadHistory>()
  readonly #timer: NodeJS.Timeout

  constructor (private readonly options: ExternalLoadDetectorOptions) {
    this.#timer = setInterval(() => { void this.#poll() }, pollIntervalMilliseconds)
  }

  close (): void {
    clearInterval(this.#timer)
  }

  async #poll (): Promise<void> {
    await Promise.all(this.options.ownedEngines().map(async ({ target, address }) => {
      const load = await this.options.engine.load(address)
      if (load.ok) {
        this.#onReport(target, load.val.running + load.val.queued)
      }
    }))
  }

  #onReport (target: string, reported: number): void {
    const history = this.#histories.get(target) ?? { granted: [], surplus: [] }
    this.#histories.set(target, history)
    pushBounded(history.granted, this.options.grantedCount(target))
    // The report may describe any moment within the delay, so it is compared with the greatest number granted during it.
    pushBounded(history.surplus, Math.max(0, reported - Math.max(...history.granted)))
    const externalRequests = history.surplus.length < reportsInWindow ? 0 : Math.min(...history.surplus)
    this.options.onExternalLoad(target, externalRequests)
  }
}

function pushBounded (values: number[], value: number): void {
  values.push(value)
  if (values.length > reportsInWindow) {
    values.shift()
  }
}

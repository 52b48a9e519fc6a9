/** Detects load on engines that this scheduler did not grant, by the engines' delayed load reports. */
import type { Engine } from '@arbutusloft/adapters'

/** Options of {@link ForeignLoad}. */
export interface ForeignLoadOptions {
  readonly engine: Engine
  /** Engines that this scheduler owns, by target name and address. */
  readonly owned: () => ReadonlyArray<{ readonly target: string, readonly address: string }>
  readonly grantedAt: (target: string) => number
  readonly onForeign: (target: string, requests: number) => void
}

const periodMilliseconds = 1_000

/** Number of consecutive reports that must show a surplus before it counts. Reports are delayed, so a single one may be wrong. */
const samples = 4

interface Drift {
  /** Number of permits granted at each of the last polls. */
  readonly granted: number[]
  /** Reported requests in excess of the granted permits, at each of the last polls. */
  readonly surplus: number[]
}

/** Compares the load that engines report with the permits granted during the reports' delay. */
export class ForeignLoad {
  readonly #drifts = new Map<string, Drift>()
  readonly #timer: NodeJS.Timeout

  constructor (private readonly options: ForeignLoadOptions) {
    this.#timer = setInterval(() => { void this.#look() }, periodMilliseconds)
  }

  close (): void {
    clearInterval(this.#timer)
  }

  async #look (): Promise<void> {
    await Promise.all(this.options.owned().map(async ({ target, address }) => {
      const load = await this.options.engine.load(address)
      if (load.ok) {
        this.#onReport(target, load.val.running + load.val.queued)
      }
    }))
  }

  #onReport (target: string, reported: number): void {
    const drift = this.#drifts.get(target) ?? { granted: [], surplus: [] }
    this.#drifts.set(target, drift)
    push(drift.granted, this.options.grantedAt(target))
    // The report may describe any moment within the delay, so it is compared with the greatest number granted during it.
    push(drift.surplus, Math.max(0, reported - Math.max(...drift.granted)))
    const foreign = drift.surplus.length < samples ? 0 : Math.min(...drift.surplus)
    this.options.onForeign(target, foreign)
  }
}

function push (values: number[], value: number): void {
  values.push(value)
  if (values.length > samples) {
    values.shift()
  }
}

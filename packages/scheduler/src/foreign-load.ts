/** Finds work on engines that nobody was granted, from the engines' lagging load reports. */
import type { Engine } from '@arbutusloft/adapters'

/** Options of {@link ForeignLoad}. */
export interface ForeignLoadOptions {
  readonly engine: Engine
  /** Engines that this scheduler owns, by name and address. */
  readonly owned: () => ReadonlyArray<{ readonly target: string, readonly address: string }>
  readonly grantedAt: (target: string) => number
  readonly onForeign: (target: string, requests: number) => void
}

const periodMilliseconds = 1_000

/** Reports that agree before a drift counts; the engines' lag makes single ones wrong. */
const samples = 4

interface Drift {
  /** Greatest number granted at the last looks, one for each. */
  readonly granted: number[]
  /** Surplus of the report over what was granted, one for each. */
  readonly surplus: number[]
}

/** Compares what engines report with what was granted over the lag. */
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
    // The report may speak of any moment within the lag, so the greatest grant in it is compared.
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

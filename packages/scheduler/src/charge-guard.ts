/** Charges reported with returned permits, kept until the ledger shows them. */
import { RecordType } from '@arbutusloft/protocol'
import type { Charged, ReportedCharge } from '@arbutusloft/protocol'
import type { AppliedRecord, LogWriter, StreamFollower } from '@arbutusloft/daemon'

/** Options of {@link ChargeGuard}. */
export interface ChargeGuardOptions {
  readonly follower: StreamFollower
  readonly writer: LogWriter
  /** Whether the ledger has the charge already. */
  readonly isCharged: (client: string, charge: string) => boolean
  /** Whether the entry that reported a charge is still linked. */
  readonly isLinked: (entry: string) => boolean
}

interface Guarded {
  readonly charge: ReportedCharge
  readonly entry: string
  readonly since: number
}

/** Milliseconds that a linked entry gets to append its own charges. */
const linkedEntryMilliseconds = 60_000

/** Milliseconds that an entry gets to link again. */
const lostEntryMilliseconds = 3_000

const periodMilliseconds = 1_000

/** Greatest number of charges kept; entries keep theirs too, so the oldest may go. */
const greatestGuarded = 50_000

/** Appends the charges of entries that were lost before they could do it themselves. */
export class ChargeGuard {
  readonly #guarded = new Map<string, Guarded>()
  readonly #timer: NodeJS.Timeout
  readonly #stopListening: () => void

  constructor (private readonly options: ChargeGuardOptions) {
    this.#stopListening = options.follower.onRecord(applied => { this.#onRecord(applied) })
    this.#timer = setInterval(() => { this.#appendLost() }, periodMilliseconds)
  }

  /** Number of charges that the ledger does not show yet. */
  get size (): number {
    return this.#guarded.size
  }

  /** An entry reports a charge. */
  add (entry: string, charge: ReportedCharge): void {
    if (this.options.isCharged(charge.client, charge.charge)) {
      return
    }
    this.#guarded.set(keyOf(charge), { charge, entry, since: Date.now() })
    for (const key of this.#guarded.keys()) {
      if (this.#guarded.size <= greatestGuarded) {
        break
      }
      this.#guarded.delete(key)
    }
  }

  /** Appends what is left, whoever reported it; the fold drops what others append as well. */
  flush (): void {
    this.#append([...this.#guarded.values()])
  }

  close (): void {
    clearInterval(this.#timer)
    this.#stopListening()
  }

  #onRecord (applied: AppliedRecord): void {
    if (applied.record.type === RecordType.Charged) {
      this.#guarded.delete(keyOf(applied.record))
    }
  }

  #appendLost (): void {
    const now = Date.now()
    const lost = [...this.#guarded.values()].filter(guarded => {
      const limit = this.options.isLinked(guarded.entry) ? linkedEntryMilliseconds : lostEntryMilliseconds
      return this.options.follower.reachable && now - guarded.since > limit
    })
    this.#append(lost)
  }

  #append (guarded: readonly Guarded[]): void {
    if (guarded.length === 0) {
      return
    }
    const records = guarded.map(({ charge }): Charged => ({ type: RecordType.Charged, ...charge }))
    for (const { charge } of guarded) {
      this.#guarded.delete(keyOf(charge))
    }
    void this.options.writer.append(records)
  }
}

function keyOf (charge: Pick<ReportedCharge, 'client' | 'charge'>): string {
  return `${charge.client}\n${charge.charge}`
}

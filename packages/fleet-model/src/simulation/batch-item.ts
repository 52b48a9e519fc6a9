/** An item of a batch job, which goes on after each loss of its slot until it is finished. */
import { SlotOutcome } from '@arbutusloft/policy'
import { WorkClass } from '@arbutusloft/protocol'
import type { BatchKind } from '../fleet-load.js'
import type { SimulatedClock } from './clock.js'
import type { Instance } from './instance.js'
import type { SlotDesk } from './slot-desk.js'
import type { SlotHolder } from './slot-holder.js'
import type { Tally } from './tally.js'

/** Milliseconds in which a target reads the prompt and the output so far again, after an item lost its slot. */
const resumeMilliseconds = 20
/** Events of an item's answer. */
const eventsOfItem = 140
/** Milliseconds before an item asks again after a failure. */
const retryMilliseconds = 50

/** Asks for slots until the item has run long enough. */
export class BatchItem implements SlotHolder {
  readonly #arrivedAt: number
  #permit = ''
  #remaining: number
  #startedAt: number | null = null
  #firstStartedAt: number | null = null
  /** Milliseconds for which it has held slots. */
  #ran = 0
  #isFinished = false
  /** Milliseconds on the present target for a millisecond of work at the usual speed. */
  #pace = 1
  /** Incremented with each grant and loss of a slot. */
  #run = 0

  constructor (
    private readonly kind: BatchKind,
    holdMilliseconds: number,
    private readonly instance: Instance,
    private readonly desk: SlotDesk,
    private readonly clock: SimulatedClock,
    private readonly tally: Tally
  ) {
    this.#remaining = holdMilliseconds
    this.#arrivedAt = clock.now
  }

  get isFinished (): boolean {
    return this.#isFinished
  }

  get arrivedAt (): number {
    return this.#arrivedAt
  }

  request (): void {
    this.#permit = this.desk.request({
      holder: this.instance.id,
      workClass: WorkClass.Batch,
      zone: this.instance.zone,
      prefix: [],
      digest: '',
      excluded: [],
      continues: null,
      patience: 0,
      spent: 0,
      latestReturn: 0,
      due: this.#arrivedAt + this.kind.dueMilliseconds,
      ran: this.#ran,
      sinceStart: this.#firstStartedAt === null ? 0 : this.clock.now - this.#firstStartedAt
    }, this)
  }

  onGranted (target: string): void {
    this.#run += 1
    const run = this.#run
    const failsAfter = this.desk.connectionFailsAfter(this.instance.id, target)
    if (failsAfter !== null) {
      this.clock.after(failsAfter, () => { this.#onUnreachable(run) })
      return
    }
    this.#startedAt = this.clock.now
    this.#firstStartedAt ??= this.clock.now
    this.#pace = this.desk.paceOf(target)
    this.clock.after(this.#remaining * this.#pace, () => { this.#onEnd(run) })
  }

  onRefused (retryAfter: number): void {
    this.clock.after(retryAfter, () => { this.request() })
  }

  onRevoked (): void {
    this.#interrupt(SlotOutcome.Stopped)
    this.request()
  }

  onTargetLost (): void {
    this.#interrupt(SlotOutcome.Broken)
    this.clock.after(retryMilliseconds, () => { this.request() })
  }

  #onUnreachable (run: number): void {
    if (run === this.#run) {
      this.desk.release(this.#permit, SlotOutcome.Unreachable)
      this.clock.after(retryMilliseconds, () => { this.request() })
    }
  }

  #interrupt (outcome: SlotOutcome): void {
    this.#run += 1
    const ran = this.clock.now - (this.#startedAt ?? this.clock.now)
    this.#remaining += Math.min(ran, resumeMilliseconds) - ran / this.#pace
    this.#ran += ran
    this.#startedAt = null
    this.desk.release(this.#permit, outcome)
  }

  #onEnd (run: number): void {
    if (run !== this.#run) {
      return
    }
    this.#isFinished = true
    const took = this.clock.now - this.#arrivedAt
    this.tally.addItem(this.#arrivedAt, took <= this.kind.dueMilliseconds, took)
    // Only an answer that was not resumed has a first event of its own.
    const ran = this.clock.now - (this.#startedAt ?? this.clock.now)
    this.desk.release(this.#permit, SlotOutcome.Finished, this.#ran > 0 ? null : { firstEvent: ran / eventsOfItem, betweenEvents: ran / eventsOfItem })
  }
}

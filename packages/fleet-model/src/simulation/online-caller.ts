/** A caller with one online request, which it sends again after a refusal. */
import { SlotOutcome } from '@arbutusloft/policy'
import { WorkClass } from '@arbutusloft/protocol'
import type { OnlineKind } from '../fleet-load.js'
import { OnlineResult } from '../fleet-outcome.js'
import type { SimulatedClock } from './clock.js'
import type { Instance } from './instance.js'
import type { SlotDesk } from './slot-desk.js'
import type { SlotHolder } from './slot-holder.js'
import type { Tally } from './tally.js'

/** Share of the objective that a request may wait for a slot, as in the gateway. */
const slotWaitShare = 0.75
/** Attempts of a caller. */
const maximumAttempts = 2
/** Share of the remaining time up to which callers follow `Retry-After`. */
const maximumRetryShare = 1 / 3
/** Milliseconds between a caller and the gateway, both ways. */
const roundTripMilliseconds = 6
/** Events of an answer after the first one. */
const eventsOfAnswer = 19
/** Milliseconds without a first event after which a caller gives up. */
const patienceMilliseconds = 2_000

/** Sends a request until it is answered, broken off, or refused for the last time. */
export class OnlineCaller implements SlotHolder {
  readonly #arrivedAt: number
  readonly #isBesideCut: boolean
  #attempts = 0
  #attemptAt = 0
  #permit = ''
  #excluded: string[] = []
  /** Milliseconds for which the answer still needs a slot. */
  #remaining: number
  #startedAt: number | null = null
  #hasFirstEvent = false
  #isGivenUp = false
  /** Milliseconds on the present target for a millisecond of work at the usual speed. */
  #pace = 1
  #isResumed = false
  /** Incremented with each grant, so that events of an earlier one are ignored. */
  #run = 0

  constructor (
    private readonly kind: OnlineKind,
    holdMilliseconds: number,
    private readonly instance: Instance,
    private readonly desk: SlotDesk,
    private readonly clock: SimulatedClock,
    private readonly tally: Tally
  ) {
    this.#remaining = holdMilliseconds
    this.#arrivedAt = clock.now
    this.#isBesideCut = desk.isBesideCut(instance.id)
  }

  /** Makes an attempt. */
  attempt (): void {
    this.#attempts += 1
    this.#attemptAt = this.clock.now
    this.#excluded = []
    const attempt = this.#attempts
    this.clock.after(patienceMilliseconds, () => { this.#giveUp(attempt) })
    this.#request()
  }

  onGranted (target: string): void {
    this.#run += 1
    const run = this.#run
    const failsAfter = this.desk.connectionFailsAfter(this.instance.id, target)
    if (failsAfter !== null) {
      this.#excluded.push(target)
      this.clock.after(failsAfter, () => { this.#onUnreachable(run) })
      return
    }
    this.#startedAt = this.clock.now
    this.#pace = this.desk.paceOf(target)
    const transit = this.desk.roundTripOf(this.instance, target)
    this.clock.after(this.kind.firstEventMilliseconds * this.#pace + transit, () => { this.#onFirstEvent(run) })
    this.clock.after(this.#remaining * this.#pace + transit, () => { this.#onEnd(run) })
  }

  onRefused (retryAfter: number): void {
    const remaining = this.#remainingMilliseconds
    if (this.#attempts >= maximumAttempts || this.#hasFirstEvent || remaining <= 0) {
      this.#end(OnlineResult.Refused, null)
      return
    }
    this.clock.after(Math.min(retryAfter, remaining * maximumRetryShare) + roundTripMilliseconds, () => { this.attempt() })
  }

  onRevoked (): void {
    throw new Error(`the slot of online request ${this.#permit} was revoked; only batch slots may be`)
  }

  onTargetLost (): void {
    this.#run += 1
    this.desk.release(this.#permit, SlotOutcome.Broken)
    if (!this.kind.isResumable) {
      if (!this.#hasFirstEvent) {
        this.#end(OnlineResult.Broken, null)
      }
      return
    }
    this.#remaining -= (this.clock.now - (this.#startedAt ?? this.clock.now)) / this.#pace
    this.#isResumed = true
    this.#request()
  }

  get #remainingMilliseconds (): number {
    return this.#arrivedAt + this.kind.deadlineMilliseconds - this.clock.now
  }

  #request (): void {
    this.#permit = this.desk.request({
      holder: this.instance.id,
      workClass: WorkClass.Online,
      zone: this.instance.zone,
      prefix: [],
      digest: '',
      excluded: this.#excluded,
      continues: null,
      patience: this.kind.objectiveMilliseconds * slotWaitShare,
      spent: this.#attemptAt - this.#arrivedAt,
      latestReturn: this.#remainingMilliseconds * maximumRetryShare,
      due: 0,
      ran: 0,
      sinceStart: 0
    }, this)
  }

  #onUnreachable (run: number): void {
    if (run !== this.#run) {
      return
    }
    this.desk.release(this.#permit, SlotOutcome.Unreachable)
    if (!this.#isGivenUp) {
      this.#request()
    }
  }

  #onFirstEvent (run: number): void {
    if (run !== this.#run || this.#hasFirstEvent) {
      return
    }
    this.#hasFirstEvent = true
    const { now } = this.clock
    const isInTime = now + roundTripMilliseconds - this.#attemptAt <= this.kind.objectiveMilliseconds
    const inTime = this.#attempts === 1 ? OnlineResult.InTime : OnlineResult.InTimeOnReturn
    this.#end(isInTime ? inTime : OnlineResult.Late, now - this.#arrivedAt)
  }

  #onEnd (run: number): void {
    if (run === this.#run) {
      this.#run += 1
      const firstEvent = this.kind.firstEventMilliseconds * this.#pace
      const took = this.clock.now - (this.#startedAt ?? this.clock.now)
      this.desk.release(this.#permit, SlotOutcome.Finished, this.#isResumed ? null : { firstEvent, betweenEvents: Math.max(0, took - firstEvent) / eventsOfAnswer })
    }
  }

  #giveUp (attempt: number): void {
    if (attempt === this.#attempts && this.#startedAt === null && !this.#hasFirstEvent) {
      this.desk.withdraw(this.#permit)
      this.#end(OnlineResult.GivenUp, null)
      this.#hasFirstEvent = true
      this.#isGivenUp = true
    }
  }

  #end (result: OnlineResult, firstEventAfter: number | null): void {
    this.tally.addOnline(this.kind, result, this.#arrivedAt, firstEventAfter, this.#isBesideCut)
  }
}

/** A process of the gateway: a holder, and the owner of what others ask it for. */
import { CrashQuarantine, defaultFleetAdmissionOptions, FleetAdmission, TargetRateLimits } from '@arbutusloft/policy'
import type { FleetTarget, RateLimitReport, SlotDecision } from '@arbutusloft/policy'

/** Start of the simulated time on the wall clocks, in milliseconds since the epoch. */
const epochMilliseconds = 1_700_000_000_000

/** Keeps the limits that a process knows and, once it is asked for a slot, its admission control. */
export class PacedProcess {
  readonly limits = new TargetRateLimits()
  #admission: FleetAdmission | null = null
  #clockOffset = 0
  #isPaused = false
  /** What has arrived while the process is stopped. */
  readonly #inbox: Array<() => void> = []

  constructor (private readonly targets: readonly FleetTarget[], private readonly simulatedNow: () => number, private readonly onDecisions: (decisions: readonly SlotDecision[]) => void) {}

  /** Time on the wall clock of the process, in milliseconds since the epoch. */
  get now (): number {
    return epochMilliseconds + this.simulatedNow() + this.#clockOffset
  }

  stepClock (milliseconds: number): void {
    this.#clockOffset += milliseconds
  }

  pause (): void {
    this.#isPaused = true
  }

  wake (): void {
    this.#isPaused = false
    for (const run of this.#inbox.splice(0)) {
      run()
    }
  }

  /** Runs a function of the process, once it runs. */
  whenRunning (run: () => void): void {
    if (this.#isPaused) {
      this.#inbox.push(run)
    } else {
      run()
    }
  }

  /** Decides as owner; the first decision creates the state. */
  decide (decideWith: (admission: FleetAdmission, now: number) => readonly SlotDecision[]): void {
    if (this.#admission === null) {
      this.#admission = new FleetAdmission(defaultFleetAdmissionOptions, new CrashQuarantine(), this.limits)
      this.#admission.setTargets(this.targets, this.now)
    }
    this.onDecisions(decideWith(this.#admission, this.now))
  }

  tick (): void {
    if (!this.#isPaused && this.#admission?.hasWaiting === true) {
      this.onDecisions(this.#admission.tick(this.now))
    }
  }

  /** Takes note of what an answer said, as the gateway's owner does. */
  onRateLimit (report: RateLimitReport, permit: string | null): void {
    const change = this.limits.observe(report, this.now)
    if (this.#admission !== null && (change !== null || permit !== null)) {
      this.onDecisions(this.#admission.onRateLimit(report.target, permit, this.now))
    }
  }
}

/** The owner's side of slots: decides for all holders, for the services that ask this process. */
import { FleetAdmission } from '@arbutusloft/policy'
import type { HeldSlot, SlotDecision, SlotOutcome, SlotRequest } from '@arbutusloft/policy'
import type { TargetRegistry, Target } from '../targets/target-registry.js'
import { TargetState } from '../targets/target-registry.js'

/** Receives decisions for a holder. */
export type DecisionSink = (service: string, decision: SlotDecision) => void

/** Milliseconds between checks of waiting requests. */
const tickMilliseconds = 25
/** Silence of a holder after which its slots come free, in milliseconds; holders report several times a second. */
const holderTimeoutMilliseconds = 2_500

/**
 * Milliseconds after the first word of a holder for which no batch work is granted: by then every
 * holder has reported what it holds.
 */
const settleMilliseconds = 400

interface OwnedService {
  readonly admission: FleetAdmission
  /** Time of each holder's last report. */
  readonly holders: Map<string, number>
}

/** Soft state of all services for which somebody asked this process. */
export class SlotOwner {
  readonly #services = new Map<string, OwnedService>()
  readonly #timer: NodeJS.Timeout

  constructor (
    private readonly targets: TargetRegistry,
    private readonly sink: DecisionSink
  ) {
    targets.onChange(() => { this.#updateTargets() })
    this.#timer = setInterval(() => { this.#tick() }, tickMilliseconds)
  }

  /** Decides on a request; false if it waits. */
  request (service: string, request: SlotRequest): boolean {
    const owned = this.#heard(service, request.holder)
    const decisions = owned.admission.request(request, Date.now())
    this.#emit(service, decisions)
    return decisions.some(decision => decision.permit === request.permit)
  }

  release (service: string, permit: string, outcome: SlotOutcome): void {
    this.#emit(service, this.#owned(service).admission.release(permit, outcome, Date.now()))
  }

  withdraw (service: string, permit: string): void {
    this.#owned(service).admission.withdraw(permit)
  }

  /** Takes a holder's report of all that it holds. */
  report (service: string, holder: string, held: readonly HeldSlot[]): void {
    const owned = this.#heard(service, holder)
    this.#emit(service, owned.admission.synchronize(holder, held, Date.now()))
  }

  /** Slots and waiting requests of a service that this process owns, for metrics. */
  load (service: string): ReturnType<FleetAdmission['load']> | null {
    return this.#services.get(service)?.admission.load() ?? null
  }

  close (): void {
    clearInterval(this.#timer)
  }

  #heard (service: string, holder: string): OwnedService {
    const owned = this.#owned(service)
    if (owned.holders.size === 0) {
      owned.admission.holdBatchUntil(Date.now() + settleMilliseconds)
    }
    owned.holders.set(holder, Date.now())
    return owned
  }

  #owned (service: string): OwnedService {
    const known = this.#services.get(service)
    if (known !== undefined) {
      return known
    }
    const owned = { admission: new FleetAdmission(), holders: new Map<string, number>() }
    this.#services.set(service, owned)
    owned.admission.setTargets(this.targets.of(service).map(fleetTargetOf), Date.now())
    return owned
  }

  #updateTargets (): void {
    for (const [service, { admission }] of this.#services) {
      this.#emit(service, admission.setTargets(this.targets.of(service).map(fleetTargetOf), Date.now()))
    }
  }

  #tick (): void {
    const now = Date.now()
    for (const [service, { admission, holders }] of this.#services) {
      for (const [holder, heardAt] of holders) {
        if (now - heardAt > holderTimeoutMilliseconds) {
          holders.delete(holder)
          this.#emit(service, admission.dropHolder(holder, now))
        }
      }
      if (holders.size > 0) {
        this.#emit(service, admission.tick(now))
      }
    }
  }

  #emit (service: string, decisions: readonly SlotDecision[]): void {
    for (const decision of decisions) {
      this.sink(service, decision)
    }
  }
}

function fleetTargetOf (target: Target): { id: string, zone: string, slots: number, accepting: boolean } {
  const { id, zone, slots, state } = target
  return { id, zone, slots, accepting: state === TargetState.Ready }
}

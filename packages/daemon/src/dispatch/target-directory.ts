/** What a holder knows of the targets: configuration, addresses, loads and failures. */
import type { Configuration } from '@arbutusloft/configuration'
import { MemberKind, MemberState } from '@arbutusloft/adapters'
import type { RouteCandidate } from '@arbutusloft/policy'
import type { TargetLoad } from '@arbutusloft/protocol'
import type { Membership } from '../membership/membership.js'

/** Options of {@link TargetDirectory}. */
export interface TargetDirectoryOptions {
  readonly membership: Membership
  readonly configuration: () => Configuration
}

/** A target that takes work, with where it is. */
export interface AvailableTarget extends RouteCandidate {
  readonly address: string
}

/** Milliseconds for which a target that failed gets no requests if there are others. */
const suspicionMilliseconds = 2_000

/** Milliseconds after which a load report says nothing any more. */
const loadMilliseconds = 2_000

interface ReportedLoad extends TargetLoad {
  readonly at: number
}

/** Combines what is known of targets for routing. */
export class TargetDirectory {
  readonly #loads = new Map<string, ReportedLoad>()
  readonly #inFlight = new Map<string, number>()
  readonly #suspects = new Map<string, number>()
  #rotation = 0

  constructor (private readonly options: TargetDirectoryOptions) {}

  /** Takes an owner's load report. */
  onLoads (loads: readonly TargetLoad[]): void {
    const at = Date.now()
    for (const load of loads) {
      this.#loads.set(load.target, { ...load, at })
    }
  }

  /** A request was sent to the target; returns the function to call at its end. */
  onSent (target: string): () => void {
    this.#inFlight.set(target, this.#inFlightOf(target) + 1)
    return () => { this.#inFlight.set(target, this.#inFlightOf(target) - 1) }
  }

  /** The target failed a request. */
  suspect (target: string): void {
    this.#suspects.set(target, Date.now())
  }

  /** Targets that serve the model and take work, without suspects if there are others. */
  forModel (model: string): readonly AvailableTarget[] {
    return this.#available(target => target.model === model)
  }

  /** Targets that serve the service and take work, without suspects if there are others. */
  forService (service: string): readonly AvailableTarget[] {
    return this.#available(target => target.service === service)
  }

  /** Load that the target's owner reported last, or null. */
  loadOf (target: string): TargetLoad | null {
    const load = this.#loads.get(target)
    return load !== undefined && Date.now() - load.at <= loadMilliseconds ? load : null
  }

  #available (
    serves: (target: { readonly model: string | null, readonly service: string | null }) => boolean
  ): readonly AvailableTarget[] {
    const configuration = this.options.configuration()
    const available: AvailableTarget[] = []
    for (const member of this.options.membership.members(MemberKind.Target)) {
      const target = configuration.targets.get(member.id)
      if (target !== undefined && member.state === MemberState.Live && serves(target)) {
        const { id, address, zone } = member
        available.push({ target: id, address, zone, concurrency: target.concurrency, ...this.#loadParts(id) })
      }
    }
    const trusted = available.filter(candidate => !this.#isSuspect(candidate.target))
    return this.#rotate(trusted.length > 0 ? trusted : available)
  }

  #loadParts (target: string): { readonly expectedWait: number, readonly occupied: number } {
    const load = this.loadOf(target)
    const own = this.#inFlightOf(target)
    // The report includes own requests that it has seen, so the greater of the two is nearest.
    const occupied = Math.max(own, load === null ? 0 : load.online + load.waiting)
    return { expectedWait: load?.expectedWait ?? 0, occupied }
  }

  /** Gives each target its turn to be first among equals. */
  #rotate (targets: readonly AvailableTarget[]): readonly AvailableTarget[] {
    if (targets.length === 0) {
      return targets
    }
    this.#rotation = (this.#rotation + 1) % targets.length
    return [...targets.slice(this.#rotation), ...targets.slice(0, this.#rotation)]
  }

  #isSuspect (target: string): boolean {
    const since = this.#suspects.get(target)
    return since !== undefined && Date.now() - since < suspicionMilliseconds
  }

  #inFlightOf (target: string): number {
    return this.#inFlight.get(target) ?? 0
  }
}

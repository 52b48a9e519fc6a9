/** The targets known to a process that dispatches requests: their configuration, addresses, loads and recent failures. */
import type { Configuration } from '@arbutusloft/configuration'
import { MemberKind, MemberState } from '@arbutusloft/adapters'
import type { RouteCandidate } from '@arbutusloft/policy'
import type { TargetLoad } from '@arbutusloft/protocol'
import type { Membership } from '../membership/membership.js'

/** Options of {@link TargetDirectory}. */
export interface TargetDirectoryOptions {
  readonly membership: Membership
  /** Returns the configuration in force. */
  readonly configuration: () => Configuration
}

/** A live target with its address. */
export interface AvailableTarget extends RouteCandidate {
  readonly address: string
}

/** Milliseconds for which a target that failed a request gets no requests if other targets are available. */
const suspicionMilliseconds = 2_000

/** Milliseconds after which a load report is out of date and ignored. */
const loadReportLifetimeMilliseconds = 2_000

interface ReportedLoad extends TargetLoad {
  /** Epoch milliseconds of the receipt. Returned to operators under this name. */
  readonly at: number
}

/** Combines configuration, instance list, load reports and failures into candidates for routing. */
export class TargetDirectory {
  readonly #loads = new Map<string, ReportedLoad>()
  readonly #inFlight = new Map<string, number>()
  readonly #suspectedSince = new Map<string, number>()
  #rotation = 0

  constructor (private readonly options: TargetDirectoryOptions) {}

  /** Stores the loads of an owner's report. */
  onLoads (loads: readonly TargetLoad[]): void {
    const at = Date.now()
    for (const load of loads) {
      this.#loads.set(load.target, { ...load, at })
    }
  }

  /** Counts a request to the target as in flight and returns the function to call when it ends. */
  trackInFlight (target: string): () => void {
    this.#inFlight.set(target, this.#inFlightOf(target) + 1)
    return () => { this.#inFlight.set(target, this.#inFlightOf(target) - 1) }
  }

  /** Marks the target as suspected after it has failed a request. */
  markSuspected (target: string): void {
    this.#suspectedSince.set(target, Date.now())
  }

  /** Returns the live targets that serve the model, without suspected ones unless all are suspected. */
  forModel (model: string): readonly AvailableTarget[] {
    return this.#available(target => target.model === model)
  }

  /** Returns the live targets that serve the service, without suspected ones unless all are suspected. */
  forService (service: string): readonly AvailableTarget[] {
    return this.#available(target => target.service === service)
  }

  /** Returns the load that the target's owner reported last, or null if there is no recent report. */
  loadOf (target: string): TargetLoad | null {
    const load = this.#loads.get(target)
    return load !== undefined && Date.now() - load.at <= loadReportLifetimeMilliseconds ? load : null
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
        available.push({ target: id, address, zone, concurrency: target.concurrency, ...this.#loadFieldsOf(id) })
      }
    }
    const unsuspected = available.filter(candidate => !this.#isSuspected(candidate.target))
    return this.#rotate(unsuspected.length > 0 ? unsuspected : available)
  }

  #loadFieldsOf (target: string): { readonly expectedWait: number, readonly occupied: number } {
    const load = this.loadOf(target)
    const ownInFlight = this.#inFlightOf(target)
    // The report already includes the requests of this process that the owner knew of, so the greater count is the better estimate, not the sum.
    const occupied = Math.max(ownInFlight, load === null ? 0 : load.online + load.waiting)
    return { expectedWait: load?.expectedWait ?? 0, occupied }
  }

  /** Rotates the targets at each call, so that routing spreads requests evenly over targets of equal cost. */
  #rotate (targets: readonly AvailableTarget[]): readonly AvailableTarget[] {
    if (targets.length === 0) {
      return targets
    }
    this.#rotation = (this.#rotation + 1) % targets.length
    return [...targets.slice(this.#rotation), ...targets.slice(0, this.#rotation)]
  }

  #isSuspected (target: string): boolean {
    const since = this.#suspectedSince.get(target)
    return since !== undefined && Date.now() - since < suspicionMilliseconds
  }

  #inFlightOf (target: string): number {
    return this.#inFlight.get(target) ?? 0
  }
}

/** Which processes own the slots of services, or would if the owners failed. */
import { ownersOf } from '@arbutusloft/policy'
import type { Membership } from '../peers/membership.js'

/** Owners of a service before and after a change of the members, each followed by its successors. */
export interface OwnersChange {
  readonly service: string
  readonly former: readonly string[]
  readonly current: readonly string[]
}

/** Number of members, in the order in which they succeed each other as owner of a service, that keep themselves ready for it. */
const successorCount = 3
/** Time for which members may differ on who owns a service after a change of owners. */
const formerOwnerMilliseconds = 10_000

/** Derives the owners from the members; remembers them until the members change. */
export class ServiceOwners {
  readonly #owners = new Map<string, readonly string[]>()
  /** Processes that were owners of a service until lately, with the times until which others may still take them for such. */
  readonly #former = new Map<string, Map<string, number>>()

  constructor (private readonly membership: Pick<Membership, 'ownerCandidates'>, private readonly address: string) {}

  ownerOf (service: string): string {
    return this.ownersOf(service)[0] ?? this.address
  }

  /** Returns the owner of a service and its successors. */
  ownersOf (service: string): readonly string[] {
    const known = this.#owners.get(service)
    if (known !== undefined) {
      return known
    }
    const candidates = this.membership.ownerCandidates().map(({ address }) => ({ id: address }))
    const owners = ownersOf(service, candidates, successorCount).map(({ id }) => id)
    this.#owners.set(service, owners)
    return owners
  }

  /** Returns the processes that may grant slots of a service at present: its owners, and those that others may still take for such. */
  grantersOf (service: string): readonly string[] {
    const now = Date.now()
    const former = this.#former.get(service)
    for (const [address, until] of former ?? []) {
      if (until < now) {
        former?.delete(address)
      }
    }
    return [...this.ownersOf(service), ...former?.keys() ?? []]
  }

  /** Makes services known. */
  learn (services: Iterable<string>): void {
    for (const service of services) {
      this.ownersOf(service)
    }
  }

  /** Addresses of the owners of all services that this process knows. */
  get owners (): readonly string[] {
    return [...new Set([...this.#owners.keys()].map(service => this.ownerOf(service)))]
  }

  /** Addresses of these owners and their successors. */
  get nearOwners (): readonly string[] {
    return [...new Set([...this.#owners.values()].flat())]
  }

  /** Addresses of the processes that may grant slots of any service at present. */
  get granters (): readonly string[] {
    return [...new Set([...this.#owners.keys()].flatMap(service => this.grantersOf(service)))]
  }

  /** Derives the owners of all known services anew after a change of the members. */
  update (now: number): readonly OwnersChange[] {
    const formerOwners = [...this.#owners]
    this.#owners.clear()
    return formerOwners.map(([service, former]) => {
      const current = this.ownersOf(service)
      const known = this.#former.get(service) ?? new Map<string, number>()
      this.#former.set(service, known)
      former.filter(address => !current.includes(address)).forEach(address => known.set(address, now + formerOwnerMilliseconds))
      return { service, former, current }
    })
  }
}

/** Follows the software versions of each service's targets: from the list of targets, and from the log what there was before this process. */
import type { VersionHistory } from '@arbutusloft/policy'
import type { Membership } from '../peers/membership.js'
import type { Target, TargetRegistry } from '../targets/target-registry.js'
import type { VersionLog } from './version-log.js'

/** Dependencies of {@link ServiceVersions}. */
export interface ServiceVersionsDependencies {
  readonly targets: TargetRegistry
  readonly membership: Pick<Membership, 'onChange'>
  readonly history: VersionHistory
  readonly log: VersionLog
  /** Whether this process owns the slots of a service, or would soon if their owner failed, and so follows its targets closely. */
  readonly isNearOwner: (service: string) => boolean
}

/** Keeps the history up to date, and the log for processes that start later. */
export class ServiceVersions {
  #versions: ReadonlyMap<string, ReadonlySet<string>> = new Map()
  /** Whether the history contains what there was before this process. */
  #isRestored = false

  constructor (private readonly dependencies: ServiceVersionsDependencies) {
    dependencies.targets.onChange(targets => { this.#onTargets(targets) })
    dependencies.membership.onChange(() => { this.#save() })
  }

  /** Reads what there was before this process; called once. */
  async load (): Promise<void> {
    const records = await this.dependencies.log.load()
    if (records !== null) {
      this.dependencies.history.restore(records, Date.now())
      this.#isRestored = true
      this.#save()
    }
  }

  close (): void {
    this.dependencies.log.close()
  }

  #onTargets (targets: readonly Target[]): void {
    const versions = new Map<string, Set<string>>()
    for (const { service, softwareVersion } of targets) {
      versions.set(service, (versions.get(service) ?? new Set()).add(softwareVersion))
    }
    const now = Date.now()
    for (const service of new Set([...versions.keys(), ...this.#versions.keys()])) {
      this.dependencies.history.observe(service, versions.get(service) ?? new Set(), now)
    }
    this.#versions = versions
    this.#save()
  }

  /** Saves the versions, present and lately departed, of the services that this process is near to own. A service without targets keeps its last ones. */
  #save (): void {
    const { log, history, isNearOwner } = this.dependencies
    if (!this.#isRestored) {
      return
    }
    for (const service of this.#versions.keys()) {
      if (isNearOwner(service)) {
        log.save(service, history.recordOf(service, Date.now()))
      }
    }
  }
}

/** Follows the software versions of each service's targets: from the list of targets, and from the log what there was before this process. */
import type { VersionHistory } from '@arbutusloft/policy'
import type { Target, TargetRegistry } from '../targets/target-registry.js'
import type { VersionLog } from './version-log.js'

/** Dependencies of {@link ServiceVersions}. */
export interface ServiceVersionsDependencies {
  readonly targets: TargetRegistry
  readonly history: VersionHistory
  readonly log: VersionLog
  /** Whether this process owns the slots of a service, or would soon if their owner failed, and so follows its targets closely. */
  readonly isNearOwner: (service: string) => boolean
}

/** Keeps the history up to date, and the log for processes that start later. */
export class ServiceVersions {
  #services: ReadonlySet<string> = new Set()

  constructor (private readonly dependencies: ServiceVersionsDependencies) {
    dependencies.targets.onChange(targets => { this.#onTargets(targets) })
  }

  /** Reads what there was before this process; called once. */
  async load (): Promise<void> {
    const records = await this.dependencies.log.load()
    if (records !== null) {
      this.dependencies.history.restore(records, Date.now())
    }
  }

  close (): void {
    this.dependencies.log.close()
  }

  #onTargets (targets: readonly Target[]): void {
    const { history, log, isNearOwner } = this.dependencies
    const now = Date.now()
    const services = new Set(targets.map(({ service }) => service))
    for (const service of new Set([...services, ...this.#services])) {
      const versions = new Set(targets.filter(target => target.service === service).map(({ softwareVersion }) => softwareVersion))
      history.observe(service, versions, now)
      if (versions.size > 0 && isNearOwner(service)) {
        log.save(service, versions)
      }
    }
    this.#services = services
  }
}

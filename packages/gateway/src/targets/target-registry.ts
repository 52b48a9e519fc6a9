/** The targets that this process knows. */

/** States of a target. */
export const TargetState = {
  Ready: 'ready',
  Draining: 'draining'
} as const
export type TargetState = typeof TargetState[keyof typeof TargetState]

/** An engine or plain service that requests are sent to. */
export interface Target {
  readonly id: string
  readonly service: string
  /** `ip:port`. */
  readonly address: string
  readonly zone: string
  /** Requests that it runs concurrently. */
  readonly slots: number
  readonly state: TargetState
  /** Start of the target in milliseconds since the epoch, which a later target with its id does not share; 0 if it is unknown. */
  readonly born: number
  /** Version of its software, which targets of one service need not share: one target cannot go on with a stream that another version began. */
  readonly softwareVersion: string
}

/** Where a request is sent. */
export type TargetEndpoint = Pick<Target, 'id' | 'address' | 'born' | 'softwareVersion'>

/** Holds the current list of targets and notifies listeners of changes. */
export class TargetRegistry {
  #targets: ReadonlyMap<string, Target> = new Map()
  readonly #listeners: Array<(targets: readonly Target[]) => void> = []

  /** Replaces the list and notifies the listeners. */
  replace (targets: readonly Target[]): void {
    this.#targets = new Map(targets.map(target => [target.id, target]))
    for (const listener of this.#listeners) {
      listener(targets)
    }
  }

  get (id: string): Target | undefined {
    return this.#targets.get(id)
  }

  /** Number of targets, in any state. */
  get size (): number {
    return this.#targets.size
  }

  all (): readonly Target[] {
    return [...this.#targets.values()]
  }

  /** Returns the targets of a service, in any state. */
  ofService (service: string): readonly Target[] {
    return this.all().filter(target => target.service === service)
  }

  onChange (listener: (targets: readonly Target[]) => void): void {
    this.#listeners.push(listener)
  }
}

/** Which processes and targets there are, by the platform's lagging list. */
import { MemberState } from '@arbutusloft/adapters'
import type { InstanceList, Member, MemberKind } from '@arbutusloft/adapters'
import type { Logger } from '../create-logger.js'
import { Listeners } from '../util/listeners.js'

/** Options of {@link Membership}. */
export interface MembershipOptions {
  readonly instanceList: InstanceList
  readonly logger: Logger
  /** Milliseconds between looks at the list. */
  readonly periodMilliseconds: number
}

/** Follows the instance list; while the list is out of reach the last answer stands. */
export class Membership {
  readonly #changes = new Listeners<void>()
  #members: readonly Member[] = []
  #fingerprint = ''
  #known = false
  #timer: NodeJS.Timeout | null = null
  #closed = false

  constructor (private readonly options: MembershipOptions) {}

  /** Takes the first look and keeps looking. */
  async start (): Promise<void> {
    await this.#look()
  }

  /** Whether the list has answered since the start. */
  get known (): boolean {
    return this.#known
  }

  /** Live and leaving members of a kind. */
  members (kind: MemberKind): readonly Member[] {
    return this.#members.filter(member => member.kind === kind)
  }

  /** Members of a kind that take new work. */
  live (kind: MemberKind): readonly Member[] {
    return this.members(kind).filter(member => member.state === MemberState.Live)
  }

  /** The member of that name, or null. */
  find (id: string): Member | null {
    return this.#members.find(member => member.id === id) ?? null
  }

  /** Calls the listener after each change and returns the function that stops it. */
  onChange (listener: () => void): () => void {
    return this.#changes.add(listener)
  }

  close (): void {
    this.#closed = true
    if (this.#timer !== null) {
      clearTimeout(this.#timer)
    }
  }

  async #look (): Promise<void> {
    const list = await this.options.instanceList.fetch()
    if (this.#closed) {
      return
    }
    if (list.ok) {
      this.#known = true
      this.#take(list.val)
    } else {
      this.options.logger.debug('instance list out of reach', { error: list.val })
    }
    this.#timer = setTimeout(() => { void this.#look() }, this.options.periodMilliseconds)
  }

  #take (members: readonly Member[]): void {
    const sorted = [...members].sort((left, right) => left.id < right.id ? -1 : 1)
    const fingerprint = JSON.stringify(sorted)
    if (fingerprint === this.#fingerprint) {
      return
    }
    this.#fingerprint = fingerprint
    this.#members = sorted
    this.#changes.emit()
  }
}

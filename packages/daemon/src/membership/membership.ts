/** The processes and targets on the platform's instance list, which lags behind the actual state. */
import { MemberState } from '@arbutusloft/adapters'
import type { InstanceList, Member, MemberKind } from '@arbutusloft/adapters'
import type { Logger } from '../create-logger.js'
import { Listeners } from '../util/listeners.js'

/** Options of {@link Membership}. */
export interface MembershipOptions {
  readonly instanceList: InstanceList
  readonly logger: Logger
  /** Milliseconds between an answer of the instance list and the next request. */
  readonly pollIntervalMilliseconds: number
}

/** Polls the instance list. While the list is unreachable its last answer remains in use. */
export class Membership {
  readonly #changeListeners = new Listeners<void>()
  #members: readonly Member[] = []
  #fingerprint = ''
  #hasList = false
  #timer: NodeJS.Timeout | null = null
  #closed = false

  constructor (private readonly options: MembershipOptions) {}

  /** Fetches the list once, then continues to poll it; resolves after the first fetch even if that failed. */
  async start (): Promise<void> {
    await this.#poll()
  }

  /** Whether the list has been fetched at least once. */
  get hasList (): boolean {
    return this.#hasList
  }

  /** Returns the live and leaving members of a kind. */
  members (kind: MemberKind): readonly Member[] {
    return this.#members.filter(member => member.kind === kind)
  }

  /** Returns the live members of a kind, which accept new work. */
  live (kind: MemberKind): readonly Member[] {
    return this.members(kind).filter(member => member.state === MemberState.Live)
  }

  /** Returns the member with the name, or null. */
  find (id: string): Member | null {
    return this.#members.find(member => member.id === id) ?? null
  }

  /** Calls the listener after each change of the list and returns the function that removes it. */
  onChange (listener: () => void): () => void {
    return this.#changeListeners.add(listener)
  }

  close (): void {
    this.#closed = true
    if (this.#timer !== null) {
      clearTimeout(this.#timer)
    }
  }

  async #poll (): Promise<void> {
    const list = await this.options.instanceList.fetch()
    if (this.#closed) {
      return
    }
    if (list.ok) {
      this.#hasList = true
      this.#update(list.val)
    } else {
      this.options.logger.debug('failed to fetch the instance list; the last known members remain in use', { error: list.val })
    }
    this.#timer = setTimeout(() => { void this.#poll() }, this.options.pollIntervalMilliseconds)
  }

  #update (members: readonly Member[]): void {
    const sorted = [...members].sort((left, right) => left.id < right.id ? -1 : 1)
    const fingerprint = JSON.stringify(sorted)
    if (fingerprint === this.#fingerprint) {
      return
    }
    this.#fingerprint = fingerprint
    this.#members = sorted
    this.#changeListeners.emit()
  }
}

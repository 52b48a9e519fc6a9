/** What a process knows of the other members. */
import { hash32 } from '@arbutusloft/policy'
import { supersedes } from './member.js'
import type { MemberUpdate } from './member.js'

/** Time for which a failed member is remembered, so that it is found again after a partition of the fleet. */
const failedRetentionMilliseconds = 30_000

interface Entry {
  readonly update: MemberUpdate
  /** Time at which the member was first suspected, in milliseconds since the epoch; null if it is not. */
  readonly suspectedAt: number | null
  /** Time at which the suspicion became a failure, in milliseconds since the epoch; null if it has not. */
  readonly failedAt: number | null
}

/** Holds the newest update of each other member, and derives which of them are alive. */
export class MemberTable {
  readonly #entries = new Map<string, Entry>()
  /** Members that have not failed, in no particular order. */
  readonly #alive: MemberUpdate[] = []
  /** Index of each of them in {@link #alive}. */
  readonly #aliveIndexes = new Map<string, number>()
  #hash = 0

  /** Applies an update; returns whether it was newer than what was known. */
  apply (update: MemberUpdate, now: number): boolean {
    const known = this.#entries.get(update.address)
    if (known !== undefined && !supersedes(update, known.update)) {
      return false
    }
    this.#set({ update, suspectedAt: update.suspected ? now : null, failedAt: null })
    return true
  }

  /** Returns the newest update of a member, whether it has failed or not. */
  get (address: string): MemberUpdate | undefined {
    return this.#entries.get(address)?.update
  }

  /** Whether a member is known and has not failed; it may be suspected. */
  isAlive (address: string): boolean {
    return this.#entries.get(address)?.failedAt === null
  }

  /** Returns the members that have not failed, suspected ones included; the list changes with later calls. */
  alive (): readonly MemberUpdate[] {
    return this.#alive
  }

  /** Returns the addresses of failed members that are remembered. */
  failed (): readonly string[] {
    return [...this.#entries.values()].filter(entry => entry.failedAt !== null).map(entry => entry.update.address)
  }

  /**
   * Hash of the members that are not suspected, with their versions. Two members with the same hash know the same; see
   * {@link hashOf} for including a member itself.
   */
  get hash (): number {
    return this.#hash
  }

  /** Turns suspicions older than the timeout into failures, and forgets members that failed long ago; returns the newly failed members. */
  advance (now: number, suspicionTimeoutMilliseconds: number): readonly MemberUpdate[] {
    const failed: MemberUpdate[] = []
    for (const [address, entry] of this.#entries) {
      if (entry.failedAt !== null) {
        if (now - entry.failedAt > failedRetentionMilliseconds) {
          this.#entries.delete(address)
        }
      } else if (entry.suspectedAt !== null && now - entry.suspectedAt >= suspicionTimeoutMilliseconds) {
        this.#set({ ...entry, failedAt: now })
        failed.push(entry.update)
      }
    }
    return failed
  }

  #set (entry: Entry): void {
    const { address } = entry.update
    const known = this.#entries.get(address)
    this.#hash ^= (known === undefined ? 0 : hashOf(known.update)) ^ hashOf(entry.update)
    this.#entries.set(address, entry)
    if (entry.failedAt === null) {
      this.#setAlive(entry.update)
    } else {
      this.#removeAlive(address)
    }
  }

  #setAlive (update: MemberUpdate): void {
    const index = this.#aliveIndexes.get(update.address) ?? this.#alive.length
    this.#alive[index] = update
    this.#aliveIndexes.set(update.address, index)
  }

  #removeAlive (address: string): void {
    const index = this.#aliveIndexes.get(address)
    const last = this.#alive.pop()
    this.#aliveIndexes.delete(address)
    if (index !== undefined && last !== undefined && last.address !== address) {
      this.#alive[index] = last
      this.#aliveIndexes.set(last.address, index)
    }
  }
}

/** Returns the contribution of a member to {@link MemberTable.hash}. */
export function hashOf ({ address, incarnation, version, suspected }: MemberUpdate): number {
  return suspected ? 0 : hash32(`${address}/${incarnation}/${version}`)
}

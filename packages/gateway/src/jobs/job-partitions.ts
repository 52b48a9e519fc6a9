/**
 * Division of jobs among partitions, and of partitions among members. The owner of a partition runs its items and serves
 * the calls about its jobs, so that no other process needs to read it. Ownership is an optimisation: appends are
 * conditional, so any process may change a job of any partition at any time.
 */
import { hash32, partitionOwners } from '@arbutusloft/policy'
import type { KeyedTopic } from '../log/keyed-topic.js'
import { isReadyState } from '../peers/member.js'
import type { Member } from '../peers/member.js'
import type { Membership } from '../peers/membership.js'
import { Alarm } from '../util/alarm.js'
import type { Logger } from '../util/logger.js'
import { JobPartition } from './job-partition.js'

/** Dependencies of {@link JobPartitions}. */
export interface JobPartitionsDependencies {
  /** Number of partitions. */
  readonly count: number
  /** Opens a partition of the jobs topic. */
  readonly openTopic: (partition: number) => KeyedTopic
  readonly membership: Membership
  readonly logger: Logger
}

/** Called when this process begins (`isActive`) or ceases to run the items of a partition. */
export type PartitionListener = (partition: JobPartition, isActive: boolean) => void

/** Time for which a process must have owned a partition before it runs its items: a suspicion of the former owner may be refuted. */
const takeoverDelayMilliseconds = 300
/** The same after a process became ready: when all processes start together, each knows only itself at first and would otherwise run all jobs. */
const startDelayMilliseconds = 700
/** Time after its last use for which a partition that another process owns is kept in memory. */
const retentionMilliseconds = 10_000

interface OpenPartition {
  readonly partition: JobPartition
  /** Time of the last use, in milliseconds since the epoch. */
  usedAt: number
  /** Time from which this process runs its items, in milliseconds since the epoch; null if another process does. */
  activeFrom: number | null
  isActive: boolean
}

/** Opens partitions when they are used, and keeps those that this process owns. */
export class JobPartitions {
  readonly #open = new Map<number, OpenPartition>()
  readonly #listeners: PartitionListener[] = []
  readonly #alarm = new Alarm(now => this.#check(now))
  #owners: ReadonlyArray<Member | null> | null = null
  #readySince: number | null = null

  constructor (private readonly dependencies: JobPartitionsDependencies) {
    dependencies.membership.onChange(() => { this.#onMembersChanged() })
  }

  /** Returns the number of the partition that a job belongs to. */
  numberOf (job: string): number {
    return hash32(job) % this.dependencies.count
  }

  /** Returns the member that owns a partition; this process itself if no member is ready. */
  ownerOf (number: number): Member {
    const { membership, count } = this.dependencies
    this.#owners ??= partitionOwners(membership.ownerCandidates(), count)
    return this.#owners[number] ?? membership.self
  }

  /** Whether this process owns a partition. */
  isOwn (number: number): boolean {
    return this.ownerOf(number).address === this.dependencies.membership.self.address
  }

  /** Returns a partition, which may not have been read yet. */
  get (number: number): JobPartition {
    const now = Date.now()
    const known = this.#open.get(number)
    if (known !== undefined) {
      known.usedAt = now
      return known.partition
    }
    const partition = new JobPartition(number, this.dependencies.openTopic(number), this.dependencies.logger)
    this.#open.set(number, { partition, usedAt: now, activeFrom: null, isActive: false })
    this.#alarm.setBy(now + retentionMilliseconds)
    return partition
  }

  /** Whether a partition has been read and is kept in memory. */
  isLoaded (number: number): boolean {
    return this.#open.get(number)?.partition.isLoaded === true
  }

  /** Returns the partitions whose items this process runs. */
  active (): readonly JobPartition[] {
    return [...this.#open.values()].filter(open => open.isActive).map(open => open.partition)
  }

  onActiveChange (listener: PartitionListener): void {
    this.#listeners.push(listener)
  }

  close (): void {
    this.#alarm.close()
    for (const { partition } of this.#open.values()) {
      partition.close()
    }
  }

  #onMembersChanged (): void {
    const { membership, count } = this.dependencies
    const now = Date.now()
    this.#owners = null
    const isReady = isReadyState(membership.state)
    this.#readySince = isReady ? this.#readySince ?? now : null
    for (let number = 0; number < count; number += 1) {
      if (isReady && this.isOwn(number)) {
        this.get(number)
        this.#claim(number, now)
      } else {
        this.#giveUp(number)
      }
    }
  }

  #claim (number: number, now: number): void {
    const open = this.#open.get(number)
    if (open !== undefined && open.activeFrom === null) {
      open.activeFrom = Math.max(now + takeoverDelayMilliseconds, (this.#readySince ?? now) + startDelayMilliseconds)
      this.#alarm.setBy(open.activeFrom)
    }
  }

  #giveUp (number: number): void {
    const open = this.#open.get(number)
    if (open === undefined) {
      return
    }
    open.activeFrom = null
    if (open.isActive) {
      open.isActive = false
      this.#notify(open.partition, false)
    }
  }

  /** Begins to run the partitions whose time has come, and closes those that have not been used lately; returns when to check again. */
  #check (now: number): number {
    let next = Infinity
    for (const [number, open] of this.#open) {
      if (open.activeFrom === null) {
        const closesAt = open.usedAt + retentionMilliseconds
        if (now >= closesAt && open.partition.log.waiting === 0) {
          this.#open.delete(number)
          open.partition.close()
        } else {
          next = Math.min(next, Math.max(closesAt, now + retentionMilliseconds / 2))
        }
      } else if (!open.isActive && now >= open.activeFrom) {
        open.isActive = true
        this.#notify(open.partition, true)
      } else if (!open.isActive) {
        next = Math.min(next, open.activeFrom)
      }
    }
    return next
  }

  #notify (partition: JobPartition, isActive: boolean): void {
    this.dependencies.logger.info(isActive ? 'partition taken' : 'partition given up', { partition: partition.number })
    for (const listener of this.#listeners) {
      listener(partition, isActive)
    }
  }
}

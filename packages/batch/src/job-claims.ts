/** Ownership of jobs by claims in the log, with takeover from lost batch processes. */
import { MemberKind } from '@arbutusloft/adapters'
import { shouldClaim } from '@arbutusloft/policy'
import { RecordType } from '@arbutusloft/protocol'
import { JobStatus } from '@arbutusloft/state'
import type { JobsFold, JobState } from '@arbutusloft/state'
import type { AppliedRecord, Identity, LogWriter, Membership, StreamFollower } from '@arbutusloft/daemon'

/** Options of {@link JobClaims}. */
export interface JobClaimsOptions {
  readonly identity: Identity
  readonly fold: JobsFold
  readonly follower: StreamFollower
  readonly membership: Membership
  /** Writer of the jobs stream. */
  readonly jobs: LogWriter
  /** Failure-detector timeout: milliseconds without a record of an owner in the log after which it counts as failed. */
  readonly ownerMilliseconds: number
}

const heartbeatsPerTimeout = 4
const claimRetryIntervalMilliseconds = 2_000

/** Claims jobs that have no live owner, and appends heartbeats while this process owns jobs. */
export class JobClaims {
  /** Epoch milliseconds, by the local clock, of the last record of each writer. */
  readonly #lastRecordAt = new Map<string, number>()
  /** Epoch milliseconds at which this process last appended a claim of each job, so that it isn't repeated too soon. */
  readonly #lastClaimAt = new Map<string, number>()
  readonly #startedAt = Date.now()
  readonly #heartbeatTimer: NodeJS.Timeout
  readonly #stopListening: () => void

  constructor (private readonly options: JobClaimsOptions) {
    this.#stopListening = options.follower.onRecord(applied => { this.#onRecord(applied) })
    this.#heartbeatTimer = setInterval(() => { this.#appendHeartbeat() }, options.ownerMilliseconds / heartbeatsPerTimeout)
  }

  /** Returns the jobs in progress whose latest claim was appended by this incarnation of the process. */
  ownedJobs (): readonly JobState[] {
    return this.#jobsInProgress().filter(job => job.claim?.writer === this.options.identity.writer)
  }

  /** Appends claims for the jobs in progress that this process should take. */
  claimJobs (): void {
    const jobs = this.#jobsInProgress().filter(job => this.#shouldClaim(job))
    if (jobs.length === 0) {
      return
    }
    const owner = this.options.identity.member
    const now = Date.now()
    jobs.forEach(job => { this.#lastClaimAt.set(job.created.job, now) })
    void this.options.jobs.append(jobs.map(job => ({ type: RecordType.JobClaimed, job: job.created.job, owner })))
  }

  close (): void {
    clearInterval(this.#heartbeatTimer)
    this.#stopListening()
  }

  #jobsInProgress (): readonly JobState[] {
    return [...this.options.fold.jobs.values()].filter(job => job.status === JobStatus.InProgress)
  }

  #shouldClaim (job: JobState): boolean {
    const { identity, membership, ownerMilliseconds } = this.options
    const now = Date.now()
    if (job.claim?.writer === identity.writer || now - (this.#lastClaimAt.get(job.created.job) ?? 0) < claimRetryIntervalMilliseconds) {
      return false
    }
    const owner = job.claim?.owner ?? null
    return shouldClaim({
      job: job.created.job,
      // A claim from before a restart of this process has no live owner.
      owner: owner === identity.member ? null : owner,
      ownId: identity.member,
      liveProcesses: membership.live(MemberKind.Batch),
      ownerIdleMilliseconds: now - (this.#lastRecordAt.get(job.claim?.writer ?? '') ?? this.#startedAt),
      ownerTimeoutMilliseconds: ownerMilliseconds
    })
  }

  #onRecord (applied: AppliedRecord): void {
    this.#lastRecordAt.set(applied.context.writer, Date.now())
  }

  #appendHeartbeat (): void {
    if (this.ownedJobs().length > 0) {
      void this.options.jobs.append([{ type: RecordType.OwnerHeartbeat, owner: this.options.identity.member }])
    }
  }
}

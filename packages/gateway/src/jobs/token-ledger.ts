/**
 * Waiting tokens of all partitions, in a topic of their own. A limit on them holds over all partitions, but a process reads
 * only the partitions that it owns. So each submission first reserves its tokens: it appends a reservation on condition that
 * nothing was appended since all others were read. Only then is the job itself appended. The owner of its partition later
 * replaces the reservation by a new total of the partition.
 */
import { Packr } from 'msgpackr/pack'
import PQueue from 'p-queue'
import { messageOf } from '@arbutusloft/protocol'
import * as z from 'zod'
import { AppendOutcome } from '../log/keyed-topic.js'
import type { KeyedTopic, NewRecord, RecordBatch } from '../log/keyed-topic.js'
import { Alarm } from '../util/alarm.js'
import type { Logger } from '../util/logger.js'
import { sleep } from '../util/sleep.js'
import { ChangeOutcome } from './job-log.js'
import type { JobPartition } from './job-partition.js'
import type { JobPartitions } from './job-partitions.js'
import { tokensOf } from './waiting-tokens.js'

/** A job whose tokens are to be counted before it is accepted. */
export interface TokenRequest {
  readonly job: string
  readonly route: string
  /** Client account whose tokens the limit bounds, empty for jobs of no account; left out where there are no accounts, and all tokens of the route count. */
  readonly account?: string
  readonly tokens: number
  /** Maximum number of tokens that may wait, in all partitions; 0 for no limit. */
  readonly limit: number
}

/** Result of a reservation; `waiting` is the number of tokens under the same limit that waited before it, in all partitions. */
export type ReservationResult =
  | { readonly granted: true, readonly waiting: number }
  | { readonly granted: false, readonly waiting: number, readonly reason: ChangeOutcome }

/** What the ledger needs of {@link JobPartitions}. */
export type OwnedPartitions = Pick<JobPartitions, 'active' | 'onActiveChange'>

/** Minimum delay before a failed call is repeated; jitter adds up to the same amount. */
const retryMilliseconds = 10
/** Interval at which the totals of owned partitions are corrected. */
const correctionIntervalMilliseconds = 3_000
/** The same while the waiting tokens of a route, or of an account on it, are near their limit, when an outdated total would reject a job that fits. */
const nearLimitCorrectionIntervalMilliseconds = 700
/** Share of the limit that counts as near. */
const nearLimitShare = 0.5
/** Time for which a reservation counts unless it is replaced; an append that was not answered may still be carried out after seconds. */
const reservationMilliseconds = 10_000

/** Attempts to append totals, each of which fails if another process appends meanwhile. */
const maximumCorrections = 5

const totalPrefix = 'p/'
const reservationPrefix = 'r/'
const packr = new Packr({ useRecords: false })

const partitionSchema = z.number().int().nonnegative()
/** Tokens by {@link waitingKey}. */
const totalSchema = z.array(z.tuple([z.string(), z.number().nonnegative()]))
/**
 * A reservation as it is recorded; its key is `r/JOB/PROCESS`. It was made `at` this time, in milliseconds since the epoch. Jobs of no account
 * have no `account`, nor have the records of builds that knew no accounts.
 */
const reservationSchema = z.object({ job: z.string(), partition: partitionSchema, route: z.string(), account: z.string().optional(), tokens: z.number().nonnegative(), at: z.number() })
type Reservation = Readonly<z.infer<typeof reservationSchema>>

/** Content of the topic. */
interface LedgerContent {
  /** Tokens by {@link waitingKey}, by partition. */
  readonly totals: Map<number, ReadonlyMap<string, number>>
  /** The same, encoded as in the topic. */
  readonly encodedTotals: ReadonlyMap<number, string>
  /** By key of the record. */
  readonly reservations: ReadonlyMap<string, Reservation>
  readonly end: number
}

/** Reserves tokens for jobs that are about to be accepted, and keeps the totals of owned partitions up to date. */
export class TokenLedger {
  /** Appends one change after the other, so that an older total cannot replace a newer one. */
  readonly #queue = new PQueue({ concurrency: 1 })
  /** Encoded totals as last appended by this process, by partition. */
  readonly #appended = new Map<number, string>()
  readonly #alarm = new Alarm(now => this.#scheduleCorrection(now))
  /** Time until which totals are corrected more often, in milliseconds since the epoch. */
  #nearLimitUntil = 0

  constructor (
    private readonly topic: KeyedTopic,
    private readonly partitions: OwnedPartitions,
    private readonly processName: () => string,
    private readonly logger: Logger
  ) {
    partitions.onActiveChange(partition => {
      this.#appended.delete(partition.number)
      this.#alarm.setBy(Date.now() + nearLimitCorrectionIntervalMilliseconds)
    })
  }

  /**
   * Counts the tokens of a job if they fit. The caller must call {@link settle} once the job is decided.
   *
   * @param deadline time after which the reservation is given up, in milliseconds since the epoch
   */
  async reserve (partition: JobPartition, request: TokenRequest, deadline: number): Promise<ReservationResult> {
    if (request.limit === 0) {
      return { granted: true, waiting: partition.fold.waitingTokens(request.route, request.account) }
    }
    while (Date.now() < deadline) {
      const result = await this.#queue.add(async () => await this.#tryReserve(partition, request))
      if (result instanceof Object) {
        return result
      }
      await sleep(retryMilliseconds * (1 + Math.random()))
    }
    return { granted: false, waiting: 0, reason: ChangeOutcome.NotDone }
  }

  /** Ends the reservation of a job that was not accepted and never will be. Other reservations are replaced by the owner of the partition. */
  settle (request: TokenRequest, outcome: ChangeOutcome): void {
    if (request.limit > 0 && (outcome === ChangeOutcome.NotDone || outcome === ChangeOutcome.NotFound)) {
      void this.#queue.add(async () => await this.topic.append([{ key: this.#keyOf(request.job), value: null }], null))
    }
  }

  /** Appends the totals of owned partitions that have changed; the ledger also does so by itself, every few seconds. */
  async correct (): Promise<void> {
    await this.#queue.add(async () => { await this.#correct() })
  }

  close (): void {
    this.#alarm.close()
    this.#queue.clear()
  }

  /** Makes one attempt; returns null if it has to be repeated. */
  async #tryReserve (partition: JobPartition, request: TokenRequest): Promise<ReservationResult | null> {
    const { job, route, account = '', tokens, limit } = request
    const content = await this.#read()
    if (content === null) {
      return null
    }
    const waiting = this.#waitingTokens(content, request)
    if (waiting + tokens > limit * nearLimitShare) {
      const now = Date.now()
      this.#nearLimitUntil = now + correctionIntervalMilliseconds
      this.#alarm.setBy(now + nearLimitCorrectionIntervalMilliseconds)
    }
    if (waiting + tokens > limit) {
      return { granted: false, waiting, reason: ChangeOutcome.OverLimit }
    }
    const reservation: Reservation = { job, partition: partition.number, route, ...(account === '' ? {} : { account }), tokens, at: Date.now() }
    const outcome = await this.topic.append([{ key: this.#keyOf(job), value: packr.pack(reservation) }], content.end)
    return outcome === AppendOutcome.Done ? { granted: true, waiting } : null
  }

  /** Returns the tokens under the same limit that wait in all partitions, with reservations for other jobs. */
  #waitingTokens ({ totals, encodedTotals, reservations }: LedgerContent, { job, route, account }: TokenRequest): number {
    const active = new Map(this.#loadedPartitions().map(partition => [partition.number, partition]))
    for (const [number, partition] of active) {
      const known = partition.fold.waitingTokensByKey()
      // A total of another process shows that this one was taken for lost, and contains jobs that it may not know.
      const isOnlyWriter = !encodedTotals.has(number) || encodedTotals.get(number) === this.#appended.get(number)
      totals.set(number, isOnlyWriter ? known : greaterOf(known, totals.get(number) ?? known))
    }
    const counted = new Set([job])
    let waiting = [...totals.values()].reduce((sum, tokens) => sum + tokensOf(tokens, route, account), 0)
    for (const reservation of reservations.values()) {
      const isInTotal = active.get(reservation.partition)?.fold.get(reservation.job) !== undefined
      const isBounded = reservation.route === route && (account === undefined || (reservation.account ?? '') === account)
      if (isBounded && !counted.has(reservation.job) && !isInTotal && !isExpired(reservation)) {
        counted.add(reservation.job)
        waiting += reservation.tokens
      }
    }
    return waiting
  }

  async #read (): Promise<LedgerContent | null> {
    let batch: RecordBatch
    try {
      batch = await this.topic.newest()
    } catch (error) {
      this.logger.debug('waiting tokens not read', { error: messageOf(error) })
      return null
    }
    const totals = new Map<number, ReadonlyMap<string, number>>()
    const encodedTotals = new Map<number, string>()
    const reservations = new Map<string, Reservation>()
    for (const { key, value, offset } of batch.records) {
      try {
        if (value !== null && key.startsWith(totalPrefix)) {
          const number = partitionSchema.parse(Number(key.slice(totalPrefix.length)))
          totals.set(number, new Map(totalSchema.parse(packr.unpack(value))))
          encodedTotals.set(number, value.toString('latin1'))
        } else if (value !== null && key.startsWith(reservationPrefix)) {
          reservations.set(key, reservationSchema.parse(packr.unpack(value)))
        }
      } catch (error) {
        this.logger.warn('waiting tokens not readable', { key, offset, error: messageOf(error) })
      }
    }
    return { totals, encodedTotals, reservations, end: batch.end }
  }

  #scheduleCorrection (now: number): number {
    if (this.partitions.active().length === 0) {
      return Infinity
    }
    void this.correct()
    return now + (now < this.#nearLimitUntil ? nearLimitCorrectionIntervalMilliseconds : correctionIntervalMilliseconds)
  }

  async #correct (): Promise<void> {
    for (let attempt = 0; attempt < maximumCorrections && !await this.#tryCorrect(); attempt += 1) {
      await sleep(retryMilliseconds * (1 + Math.random()))
    }
  }

  /**
   * Appends changed totals, and deletes the reservations that these contain; returns false if another process has appended meanwhile. The
   * partitions are read after the reservations, so that a total lacks no job whose reservation is gone, also after a pause of this process.
   */
  async #tryCorrect (): Promise<boolean> {
    const changed = this.#loadedPartitions().filter(partition => totalOf(partition).toString('latin1') !== this.#appended.get(partition.number))
    if (changed.length === 0) {
      return true
    }
    const content = await this.#read()
    if (content === null) {
      return true
    }
    const refreshed = await Promise.all(changed.map(async partition => await partition.refresh()))
    const totals = changed.filter((_, index) => refreshed[index] === true).map(partition => ({ partition, value: totalOf(partition) }))
    if (totals.length === 0) {
      return true
    }
    const replaced = [...content.reservations].filter(([, reservation]) => {
      const partition = totals.find(total => total.partition.number === reservation.partition)?.partition
      return partition !== undefined && (partition.fold.get(reservation.job) !== undefined || isExpired(reservation))
    })
    const records: NewRecord[] = [
      ...totals.map(({ partition, value }) => ({ key: `${totalPrefix}${partition.number}`, value })),
      ...replaced.map(([key]) => ({ key, value: null }))
    ]
    const outcome = await this.topic.append(records, content.end)
    for (const { partition, value } of totals) {
      if (outcome === AppendOutcome.Done) {
        this.#appended.set(partition.number, value.toString('latin1'))
      } else {
        // The total may be in the topic or not, so it is appended again.
        this.#appended.delete(partition.number)
      }
    }
    return outcome !== AppendOutcome.Conflict
  }

  #loadedPartitions (): readonly JobPartition[] {
    return this.partitions.active().filter(partition => partition.isLoaded)
  }

  /** Returns the key of this process's reservation for a job; a later attempt at another process has its own. */
  #keyOf (job: string): string {
    return `${reservationPrefix}${job}/${this.processName()}`
  }
}

function totalOf (partition: JobPartition): Buffer {
  return packr.pack([...partition.fold.waitingTokensByKey()])
}

/** Returns the greater number of tokens of each key. */
function greaterOf (one: ReadonlyMap<string, number>, other: ReadonlyMap<string, number>): ReadonlyMap<string, number> {
  return new Map([...one.keys(), ...other.keys()].map(key => [key, Math.max(one.get(key) ?? 0, other.get(key) ?? 0)]))
}

function isExpired ({ at }: Reservation): boolean {
  return Math.abs(Date.now() - at) > reservationMilliseconds
}

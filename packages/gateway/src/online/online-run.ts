/** Runs one online request: acquires a slot, dispatches to a target, retries or resumes after failures, and relays the response. */
import type { ServerResponse } from 'node:http'
import { promptPartDigest, questionAfterEnd, rankLabelOf, RefusalReason, RouteKind, silenceLimits, SlotOutcome } from '@arbutusloft/policy'
import type { DrainAdmission, EndQuestion, QueueStanding, StreamOrigin } from '@arbutusloft/policy'
import { WorkClass } from '@arbutusloft/protocol'
import { rejectRequest, reply, Status } from '../http/reply.js'
import type { GatewayMetrics } from '../metrics.js'
import { slotForSecondCall } from '../permits/shared-slot.js'
import type { Slot, AcquireResult } from '../permits/slot.js'
import type { SlotClient } from '../permits/slot-client.js'
import type { StreamOriginDirectory } from '../streams/stream-origin-directory.js'
import { callTarget, CallOutcome } from '../targets/target-call.js'
import { AnswerProgress } from '../targets/answer-progress.js'
import { failedStatus, slotOutcomeOf, unresponsiveReason } from '../targets/call-outcome.js'
import { releaseSlot } from '../targets/slot-release.js'
import type { TargetConnections } from '../targets/target-connections.js'
import type { TargetEndpoint } from '../targets/target-registry.js'
import { ConnectionFailure } from '../targets/transport.js'
import type { Logger } from '../util/logger.js'
import { sleep } from '../util/sleep.js'
import { ResponseRelay } from './response-relay.js'
import type { HeaderNames } from './header-names.js'
import { isRepeatable } from './online-request.js'
import type { OnlineRequest } from './online-request.js'
import { SilenceWatch } from './silence-watch.js'

/** Dependencies of {@link OnlineRun}. */
export interface OnlineRunDependencies {
  readonly slots: SlotClient
  readonly connections: TargetConnections
  readonly origins: Pick<StreamOriginDirectory, 'record' | 'ask'>
  /** Whether a client that takes up the stream of a request can only get to the service that began it. */
  readonly isSoleService: (request: OnlineRequest) => boolean
  readonly drainAdmission: DrainAdmission
  /** Aborted shortly before the instance ends, so that requests get a final response where that is possible. */
  readonly ending: AbortSignal
  readonly names: HeaderNames
  readonly metrics: GatewayMetrics
  readonly logger: Logger
}

/** Share of the route's latency objective that a request may wait for a slot; the rest is left for processing the prompt. */
const slotWaitShare = 0.75
/** Number of targets that may reject a request or be unreachable; one more ends the request. */
const maximumRejections = 4
/** Number of attempts for which neither this instance nor its peers have a path to a target; the request then ends, as others would end so too. */
const maximumPathlessAttempts = 2
/** Time until the deadline below which no further attempt is made. */
const minimumRemainingMilliseconds = 50
/** Time for which a final answer waits until the crash of its target is reported; the report takes a few round trips between members. */
const maximumReleaseWaitMilliseconds = 50
/** Share of a client's remaining time up to which it follows `Retry-After`; it then has most of its time left for the answer. */
const maximumRetryShare = 0.3

const millisecondsPerSecond = 1_000
/** Abort reason of a question for the rest of a stream. */
const unansweredReason = 'nothing told in time whether the stream goes on'
const stoppingText = 'not run: this instance stops before the request could end'

const refusalTexts: Readonly<Record<RefusalReason, string>> = {
  [RefusalReason.Busy]: 'all targets are busy',
  [RefusalReason.Quarantined]: 'targets have crashed under it or a part of its prompt',
  [RefusalReason.VersionGone]: 'no target of the software version that began the stream is left',
  [RefusalReason.VersionUnknown]: 'it is not known which software version began the stream',
  [RefusalReason.OverAllowance]: 'the account has used its allowance'
}

/** Handles one online request. */
export class OnlineRun {
  readonly #abort = new AbortController()
  readonly #relay: ResponseRelay
  readonly #startedAt = Date.now()
  readonly #excluded: string[] = []
  /** Time of the latest data that was relayed or, before it, of the request's arrival. */
  #lastProgressAt = this.#startedAt
  /** Number of failed attempts that a target may have run. */
  #possibleExecutions = 0
  /** Slot for the next attempt, which was granted while the last one was silent, or which the last one leaves to a question; or null. */
  #nextSlot: Slot | null = null
  /** Number of failed attempts that no target ran. */
  #rejections = 0
  /** Number of these that no path led to their targets for. */
  #pathlessAttempts = 0
  #clientDisconnected = false
  /** Question for the rest of a stream whose end is unknown, or null while there is none. */
  #question: EndQuestion | null = null
  /** Time at which the question ends, in milliseconds since the epoch. */
  #questionEndsAt = 0
  #questionTimer: NodeJS.Timeout | null = null
  /** Whether a target closed or reset the connection in place of an answer to the question: the close before may have been a cut as well. */
  #isQuestionLost = false
  /** Origin of the stream of which the client has events, or null if it has none. */
  #origin: StreamOrigin | null
  /** Whether this run has recorded the stream's origin for later attempts of the client. */
  #isOriginRecorded = false
  #hasAskedForOrigin = false
  /** Whether a slot was granted, for which the account's allowance counts the request. */
  #isCounted = false
  /** Time from the arrival of the request to the first byte of the response that was relayed, or null before it. */
  #firstByteMilliseconds: number | null = null

  constructor (
    private readonly dependencies: OnlineRunDependencies,
    private readonly request: OnlineRequest,
    private readonly response: ServerResponse
  ) {
    this.#relay = new ResponseRelay(response, request.route.kind === RouteKind.Stream, request.route.resumable)
    this.#origin = request.continues
  }

  /** Runs the request until the client has its final response or has disconnected. */
  async run (): Promise<void> {
    if (this.response.destroyed) {
      // The client left while the request was prepared.
      this.#count('client_gone')
      return
    }
    const onClose = (): void => {
      this.#clientDisconnected = !this.response.writableFinished
      this.#abort.abort()
    }
    this.response.once('close', onClose)
    const timer = setTimeout(() => { this.#abort.abort() }, this.#remainingMilliseconds())
    const { ending } = this.dependencies
    const onEnding = (): void => { this.#abort.abort() }
    ending.addEventListener('abort', onEnding, { once: true })
    try {
      if (ending.aborted || !this.#isAdmitted()) {
        this.#refuseStopping()
        return
      }
      await this.#runAttempts()
    } finally {
      this.#takeNextSlot()?.release(SlotOutcome.NotRun)
      this.#endQuestion()
      clearTimeout(timer)
      ending.removeEventListener('abort', onEnding)
      this.response.off('close', onClose)
    }
  }

  /** Whether the request will have ended when the instance ends, if that stops; the time that it waits for a slot counts. */
  #isAdmitted (): boolean {
    return this.dependencies.drainAdmission.admits(this.request.deadline)
  }

  #refuseStopping (): void {
    this.dependencies.logger.info('refused', { request: this.request.id, route: this.request.route.name, waited: Date.now() - this.#startedAt, reason: 'stopping', retryAfter: 0, refusals: this.#rejections })
    rejectRequest(this.response, Status.ServiceUnavailable, stoppingText, 0)
    this.#count('refused')
  }

  async #runAttempts (): Promise<void> {
    for (;;) {
      const nextSlot = this.#takeNextSlot()
      const result: AcquireResult = nextSlot === null ? await this.#acquire(this.#excluded, this.#abort.signal) : { granted: true, slot: nextSlot }
      if (!result.granted && result.reason === RefusalReason.VersionUnknown && await this.#askForOrigin()) {
        continue
      }
      if (!result.granted) {
        this.#onSlotRejected(result.reason, result.retryAfter, result.standing)
        return
      }
      const [wasCounted, pathlessAttempts] = [this.#isCounted, this.#pathlessAttempts]
      this.#isCounted = true
      if (this.#question !== null && this.#abort.signal.aborted) {
        result.slot.release(SlotOutcome.NotRun)
        this.#finishIncomplete()
        return
      }
      if (this.#possibleExecutions === 0 && !this.#isAdmitted()) {
        result.slot.release(SlotOutcome.NotRun)
        this.#refuseStopping()
        return
      }
      if (await this.#dispatchSafely(result.slot)) {
        return
      }
      // A slot that was released as not run is not counted any more.
      this.#isCounted = wasCounted || this.#pathlessAttempts === pathlessAttempts
      if (this.#rejections > maximumRejections || this.#pathlessAttempts >= maximumPathlessAttempts) {
        this.#onSlotRejected(RefusalReason.Busy, 0)
        return
      }
    }
  }

  /** Asks other instances once for the origin of the stream that the client takes up; returns whether one knows it. */
  async #askForOrigin (): Promise<boolean> {
    const { request } = this
    if (this.#hasAskedForOrigin || request.resumes === '' || this.#origin?.softwareVersion !== '') {
      return false
    }
    this.#hasAskedForOrigin = true
    const origin = await this.dependencies.origins.ask(request.resumes)
    if (origin?.service !== request.service) {
      return false
    }
    this.#origin = origin
    return true
  }

  /** Records the origin of the stream when the client gets the first event of this attempt. */
  #recordOrigin ({ softwareVersion, id, born }: TargetEndpoint): void {
    const { request } = this
    if (this.#isOriginRecorded || !request.route.resumable || this.#relay.lastId === null) {
      return
    }
    this.#isOriginRecorded = true
    if (this.#origin === null || this.#origin.softwareVersion === '') {
      this.#origin = { softwareVersion, target: id, born }
    }
    const attempt = request.continues === null ? request.id : request.resumes
    if (attempt !== '') {
      this.dependencies.origins.record(attempt, request.service, this.#origin, this.dependencies.isSoleService(request))
    }
  }

  #takeNextSlot (): Slot | null {
    const slot = this.#nextSlot
    this.#nextSlot = null
    return slot
  }

  async #acquire (excluded: readonly string[], signal: AbortSignal): Promise<AcquireResult> {
    const { route, service, prefix, digest, spentMilliseconds, caller } = this.request
    const maximumWait = Math.min(this.#question?.patience ?? route.objectiveMilliseconds * slotWaitShare, this.#remainingMilliseconds())
    return await this.dependencies.slots.acquire({
      service,
      workClass: WorkClass.Online,
      prefix,
      digest,
      excluded,
      continues: this.#origin,
      patience: maximumWait,
      spent: spentMilliseconds,
      latestReturn: this.#latestReturnMilliseconds(),
      // The rest applies to batch items only.
      due: 0,
      ran: 0,
      sinceStart: 0,
      ...(caller === undefined ? {} : { caller: { ...caller, isCounted: this.#isCounted } })
    }, signal)
  }

  /** Like {@link #dispatch}, but gives the slot back also if that throws. */
  async #dispatchSafely (slot: Slot): Promise<boolean> {
    try {
      return await this.#dispatch(slot)
    } catch (error) {
      slot.release(SlotOutcome.Stopped)
      throw error
    }
  }

  /** Sends the request to the target; returns true if the request is finished, and false if it needs another attempt. */
  async #dispatch (slot: Slot): Promise<boolean> {
    const { request, dependencies } = this
    const { target } = slot
    if (this.#question !== null) {
      this.#limitQuestion(this.#questionEndsAt - Date.now())
    }
    const headers = [...request.headers]
    const resumeAfter = this.#relay.lastId ?? request.lastEventId
    const eventId = resumeAfter === null ? request.otherEventId : String(resumeAfter)
    if (eventId !== '') {
      headers.push('Last-Event-Id', eventId)
    }
    const sentAt = Date.now()
    const progress = new AnswerProgress(resumeAfter ?? 0, place => { slot.markSound(place) })
    let status: number | null = null
    let isDiscarded = false
    const call = callTarget(dependencies.connections, target, {
      id: request.id,
      method: request.method,
      path: request.path,
      headers,
      body: request.body,
      remainingMilliseconds: request.hasDeadline ? this.#remainingMilliseconds() : null,
      endsAt: request.deadline
    }, dependencies.names, {
      onLeaving: () => { slot.markLeaving() },
      onRateLimit: requestsPerSecond => { slot.recordRateLimit(requestsPerSecond, call.sentAt ?? sentAt) },
      onForeign: head => {
        dependencies.logger.warn('response to another request skipped', { request: request.id, target: target.id, status: head.status, other: head.headers[dependencies.names.requestId] ?? null })
      },
      onHead: head => {
        status = head.status
        // A failed response is not relayed if another target can be tried.
        isDiscarded = status === failedStatus && this.#canRetry() && this.#remainingMilliseconds() >= minimumRemainingMilliseconds
        if (isDiscarded) {
          call.skipBody()
          return
        }
        if (!this.#relay.canContinueWith(head)) {
          call.abort(`status ${head.status}, ${head.headers['content-type'] ?? 'no content type'} instead of the rest of the stream`)
          return
        }
        this.#relay.onHead(head, request.route.resumable ? resumeAfter : null)
      },
      onData: chunk => {
        const { relayedBytes } = this.#relay
        const isWritable = this.#relay.onData(chunk)
        progress.onData(status, this.#relay.lastId ?? resumeAfter ?? 0)
        if (this.#relay.relayedBytes > relayedBytes) {
          silenceWatch.onProgress()
          this.#lastProgressAt = Date.now()
          if ((this.#relay.lastId ?? request.lastEventId) !== resumeAfter) {
            this.#endQuestion()
          }
          this.#recordOrigin(target)
        } else {
          silenceWatch.onIncompleteData()
        }
        if (this.#relay.hasBegun) {
          this.#observeFirstByte()
        }
        if (!isWritable) {
          progress.onHeldBack()
          this.#relay.onceWritable(() => { call.resume() })
        }
        return isWritable
      }
    })
    const silenceWatch = new SilenceWatch({
      limits: silenceLimits({
        objectiveMilliseconds: request.route.objectiveMilliseconds,
        waitedMilliseconds: sentAt - this.#lastProgressAt,
        remainingMilliseconds: this.#remainingMilliseconds()
      }),
      canMove: () => this.#question === null && this.#canRetry(),
      acquire: async signal => await this.#acquire([...this.#excluded, target.id], signal),
      onFound: slot => {
        this.#nextSlot = slot
        call.abort(unresponsiveReason)
      }
    })
    const onAbort = (): void => { call.abort(this.#abortReason) }
    this.#abort.signal.addEventListener('abort', onAbort, { once: true })
    const ended = await call.ended
    const { end: outcome, reason } = isDiscarded ? ended : this.#relay.endOf(ended, resumeAfter)
    silenceWatch.close()
    this.#abort.signal.removeEventListener('abort', onAbort)
    let released = Promise.resolve()
    // A relayed connection takes longer, and the rest of a stream is no whole answer.
    const timing = outcome === CallOutcome.Complete && resumeAfter === null && call.via === null ? progress.timingOf(status, call.sentAt) : null
    const endedCall = { end: outcome, reason, status, sentAt: call.sentAt ?? sentAt, firstDataAt: progress.firstDataAt, evidence: { isSound: progress.isSound, place: this.#relay.lastId ?? request.lastEventId ?? 0, ...(timing === null ? {} : { timing }) }, endedAt: Date.now() }
    const hasQuestion = outcome === CallOutcome.EndUnknown && !isDiscarded && this.#beginQuestion()
    if (hasQuestion && this.#nextSlot === null && dependencies.slots.canRunAgain(slot)) {
      // A new slot would be taken from the requests that wait for one.
      this.#nextSlot = slotForSecondCall(slot, slotOutcomeOf(endedCall))
    } else if (this.#abort.signal.aborted) {
      const stopped = call.sentAt === null ? SlotOutcome.NotRun : SlotOutcome.Stopped
      slot.release(silenceWatch.isSilent && call.via === null && this.#question === null ? SlotOutcome.Unreachable : stopped, endedCall.evidence)
    } else {
      released = releaseSlot(slot, call, endedCall, dependencies.connections)
    }
    const isAnswered = outcome === CallOutcome.Complete || outcome === CallOutcome.EndUnknown
    if (isAnswered && !isDiscarded) {
      this.#observeFirstByte()
    }
    const first = this.#firstByteMilliseconds
    dependencies.logger.info('dispatch ended', {
      request: request.id,
      route: request.route.name,
      target: target.id,
      version: target.softwareVersion,
      via: call.via,
      after: resumeAfter,
      resumes: request.resumes,
      end: outcome,
      reason,
      waited: sentAt - this.#startedAt,
      first,
      late: first !== null && first > request.route.objectiveMilliseconds,
      took: Date.now() - sentAt,
      status,
      ...(outcome === CallOutcome.Disconnected ? { digest: request.digest, parts: request.prefix.map(promptPartDigest) } : {})
    })
    if (outcome === CallOutcome.Disconnected && !this.#canRetry()) {
      // A caller that comes again should find a crash counted.
      await Promise.race([released, sleep(maximumReleaseWaitMilliseconds)])
    }
    // A failed response that was not relayed is handled like an interrupted one: the target ran the request, and the client got nothing.
    return !hasQuestion && this.#onCallEnd(isDiscarded && isAnswered ? CallOutcome.Broken : outcome, target, call.failure)
  }

  get #abortReason (): string {
    if (this.#clientDisconnected) {
      return 'client gone'
    }
    if (this.dependencies.ending.aborted) {
      return 'instance stops'
    }
    return this.#question === null ? 'deadline' : unansweredReason
  }

  /** Records when the client gets the first bytes of its response, which is the end of one that was held. */
  #observeFirstByte (): void {
    if (this.#firstByteMilliseconds === null) {
      this.#firstByteMilliseconds = Date.now() - this.#startedAt
      this.dependencies.metrics.firstByte.observe(this.#firstByteMilliseconds / millisecondsPerSecond)
    }
  }

  #onCallEnd (outcome: CallOutcome, target: TargetEndpoint, failure: ConnectionFailure | null): boolean {
    switch (outcome) {
      case CallOutcome.EndUnknown:
        if (this.#relay.isEndDoubtful) {
          this.#possibleExecutions += 1
          return this.#finishIncomplete()
        }
        return this.#finishServed()
      case CallOutcome.Complete:
        return this.#finishServed()
      case CallOutcome.NotExecuted:
      case CallOutcome.Misdirected:
      case CallOutcome.Unreachable:
        this.#rejections += 1
        this.#excluded.push(target.id)
        return this.#abort.signal.aborted && this.#finishIncomplete()
      case CallOutcome.NoPath:
        this.#rejections += 1
        this.#pathlessAttempts += 1
        this.#excluded.push(target.id)
        return this.#abort.signal.aborted && this.#finishIncomplete()
      case CallOutcome.Broken:
      case CallOutcome.Disconnected: {
        const canRetry = this.#canRetry()
        this.#isQuestionLost ||= this.#question !== null && outcome === CallOutcome.Disconnected && failure !== ConnectionFailure.RelayLost
        this.#possibleExecutions += 1
        this.#excluded.push(target.id)
        return (this.#abort.signal.aborted || !canRetry || this.#remainingMilliseconds() < minimumRemainingMilliseconds) && this.#finishIncomplete()
      }
    }
  }

  /** Whether the request may be sent to another target if the current attempt fails after it may have run. */
  #canRetry (): boolean {
    const { route } = this.request
    return isRepeatable(route) && this.#relay.canContinue && this.#possibleExecutions + 1 < route.maxAttempts
  }

  /** Begins to ask for the rest of a stream that has ended without anybody saying that it is whole; returns whether an attempt for that is to be made. */
  #beginQuestion (): boolean {
    const question = questionAfterEnd({
      unknownEnds: this.#relay.unknownEnds,
      objectiveMilliseconds: this.request.route.objectiveMilliseconds,
      remainingMilliseconds: this.#remainingMilliseconds()
    })
    if (question === null || this.#abort.signal.aborted || !this.#canRetry()) {
      return false
    }
    this.#possibleExecutions += 1
    this.#question = question
    this.#isQuestionLost = false
    this.#questionEndsAt = Date.now() + question.limit
    this.#limitQuestion(question.patience)
    return true
  }

  #limitQuestion (milliseconds: number): void {
    clearTimeout(this.#questionTimer ?? undefined)
    this.#questionTimer = setTimeout(() => { this.#abort.abort() }, milliseconds)
  }

  #endQuestion (): void {
    this.#question = null
    clearTimeout(this.#questionTimer ?? undefined)
  }

  #finishServed (): boolean {
    this.#relay.end()
    this.#count('served')
    return true
  }

  /** Finishes the request without a complete response; returns true, which means that no further attempt is needed. */
  #finishIncomplete (): boolean {
    if (this.#clientDisconnected) {
      this.#count('client_gone')
    } else if (this.#relay.unknownEnds > 0 && !this.#relay.isEndDoubtful && !this.#isQuestionLost) {
      // The target has ended the stream in order: https://www.rfc-editor.org/rfc/rfc9112#section-6.3
      this.dependencies.logger.info('end of stream not confirmed', { request: this.request.id, route: this.request.route.name, after: this.#relay.lastId })
      return this.#finishServed()
    } else if (this.#relay.hasBegun) {
      this.#relay.abort()
      this.#count('broken_off')
    } else if (this.#possibleExecutions > 0) {
      reply(this.response, this.#abort.signal.aborted ? Status.GatewayTimeout : Status.BadGateway, { error: 'the outcome is unknown' })
      this.#count('outcome_unknown')
    } else {
      rejectRequest(this.response, Status.ServiceUnavailable, 'not run: no target took the request in time', 0)
      this.#count('refused')
    }
    return true
  }

  #onSlotRejected (reason: RefusalReason, retryAfter: number, standing?: QueueStanding): void {
    if (this.#clientDisconnected || this.#relay.hasBegun || this.#possibleExecutions > 0 || this.#abort.signal.aborted) {
      this.#finishIncomplete()
      return
    }
    const waited = Date.now() - this.#startedAt
    this.dependencies.logger.info('refused', { request: this.request.id, route: this.request.route.name, waited, reason, retryAfter, refusals: this.#rejections, ...(standing === undefined ? {} : { order: standing }) })
    if (standing !== undefined) {
      this.dependencies.metrics.orderedRefusals.inc({ cause: standing.cause, rank: rankLabelOf(standing.rank) })
    }
    // A quarantine, or the time until an allowance has room, may last longer than the caller can wait, which then need not come back.
    const isExact = reason === RefusalReason.Quarantined || reason === RefusalReason.OverAllowance
    const callerRetryAfter = isExact ? retryAfter : Math.min(retryAfter, this.#latestReturnMilliseconds())
    const status = reason === RefusalReason.OverAllowance ? Status.TooManyRequests : Status.ServiceUnavailable
    rejectRequest(this.response, status, `not run: ${refusalTexts[reason]}`, callerRetryAfter)
    this.#count('refused')
  }

  #remainingMilliseconds (): number {
    return Math.max(0, this.request.deadline - Date.now())
  }

  #latestReturnMilliseconds (): number {
    return this.#remainingMilliseconds() * maximumRetryShare
  }

  #count (outcome: string): void {
    const { metrics } = this.dependencies
    metrics.requests.inc({ route: this.request.route.name, outcome })
    metrics.duration.observe({ outcome }, (Date.now() - this.#startedAt) / millisecondsPerSecond)
  }
}

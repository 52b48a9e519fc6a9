/** Runs one batch item until it has a result: acquires a slot, dispatches to a target, and resumes the stream after each interruption. */
import { promptPartDigest, SlotOutcome, VersionWait } from '@arbutusloft/policy'
import type { AccountDirectory, Route, SlotCaller, StreamOrigin } from '@arbutusloft/policy'
import { messageOf, WorkClass } from '@arbutusloft/protocol'
import { accountHeader, accountHeadersOf } from '../accounts/account-headers.js'
import type { HeaderNames } from '../online/header-names.js'
import { sharedPromptParts } from '../online/online-request.js'
import { forwardedHeaders } from '../online/forwarded-headers.js'
import type { AcquireResult, Slot, SlotDemand, SlotRejection } from '../permits/slot.js'
import type { SlotClient } from '../permits/slot-client.js'
import type { GatewayMetrics } from '../metrics.js'
import { requestDigest } from '../quarantine/request-digest.js'
import { AnswerProgress } from '../targets/answer-progress.js'
import { failedStatus, unresponsiveReason } from '../targets/call-outcome.js'
import type { ResponseHead } from '../targets/response-parser.js'
import { releaseSlot } from '../targets/slot-release.js'
import { callTarget, CallOutcome } from '../targets/target-call.js'
import type { TargetConnections } from '../targets/target-connections.js'
import type { TargetEndpoint } from '../targets/target-registry.js'
import type { Logger } from '../util/logger.js'
import { afterNextRead } from '../util/after-next-read.js'
import { sleep } from '../util/sleep.js'
import { ItemOutput } from './item-output.js'
import type { ItemProgress } from './item-progress.js'
import { ItemWait } from './item-wait.js'
import { ItemState } from './job.js'
import type { Job, JobItem } from './job.js'

/** Dependencies of {@link ItemRun}. */
export interface ItemRunDependencies {
  readonly slots: Pick<SlotClient, 'acquire'>
  readonly connections: TargetConnections
  readonly names: HeaderNames
  readonly logger: Logger
  /** Left out if waiting items are not counted. */
  readonly metrics?: Pick<GatewayMetrics, 'waitingItems'>
  /** Returns the current route of this name, or null if it was removed. */
  readonly routeOf: (name: string) => Route | null
  /** Reads the configuration to its end; returns whether `routeOf` is then at least as new as the call. */
  readonly refreshRoutes: () => Promise<boolean>
  /** Chooses one of the route's services for an attempt, or returns null if it has none. */
  readonly serviceOf: (route: Route) => string | null
  /** Returns the client accounts, or null where there are none; left out if there never are any. */
  readonly accounts?: () => AccountDirectory | null
}

/** Result of an item. */
export interface ItemOutcome {
  readonly state: ItemState
  readonly text: string
}

/** Method of the requests that run items. */
const itemMethod = 'POST'
/** Abort reason of a call whose item may be abandoned. */
const expiredReason = 'retention over'
/** Longest delay that a timer supports. */
const maximumDelayMilliseconds = 2_147_483_647
const okStatus = 200
const unprocessableStatus = 422
const firstClientErrorStatus = 400
const firstServerErrorStatus = 500
/** Time without a complete event after which a target counts as unresponsive and the item resumes on another one; ten times a long interval between the events of a batch item. */
const unresponsiveTimeoutMilliseconds = 1_500
/**
 * Interval at which an item's response is read. Nobody waits for its single events, and a read for each of them would cost
 * most of the processor time of an item.
 */
const readIntervalMilliseconds = 150
/** Initial backoff before an item whose attempt failed requests another slot. */
const retryMilliseconds = 50
/** Upper bound of that backoff, which keeps items that fail everywhere from occupying the targets. */
const maximumRetryMilliseconds = 800

/** Delay before a read of the configuration that failed is repeated. */
const refreshRetryMilliseconds = 200
/** Time after which a read of the configuration is too old to give an item up: the process was paused meanwhile. */
const maximumRefreshMilliseconds = 1_000

/** Time for which an item waits for a slot before its route and retention are checked again. */
const slotWaitMilliseconds = 2_000

/** Runs one item of a job. */
export class ItemRun {
  readonly #stop = new AbortController()
  readonly #parts: readonly string[]
  readonly #wait: ItemWait
  /** Digest of the requests that run the item; empty before the first attempt. */
  #digest = ''
  readonly #output = new ItemOutput()
  /** Number of complete responses with which targets reported that the item failed. */
  #failedResponses = 0
  /** Target that wrote the latest events; null before the first, and if they were restored from saved progress. */
  #writer: Pick<TargetEndpoint, 'id' | 'born'> | null = null
  /** Waits for a target of the version that wrote the item's events. */
  readonly #versionWait = new VersionWait(slotWaitMilliseconds)
  /** Targets that the next slot must not be on. */
  #excluded: string[] = []
  /** Head of the current attempt's response, or null before it. */
  #head: ResponseHead | null = null
  /** Number of events at the last failure. */
  #eventsAtLastFailure = 0
  /** Consecutive failed attempts without a new event. */
  #failuresWithoutProgress = 0
  /** Milliseconds for which the item has held slots. */
  #ranMilliseconds = 0
  /** Time of the first slot, in milliseconds since the epoch, or null before it. */
  #startedAt: number | null = null

  constructor (
    private readonly dependencies: ItemRunDependencies,
    private readonly job: Job,
    private readonly item: JobItem,
    private readonly savedProgress: Promise<ItemProgress | null>
  ) {
    this.#parts = sharedPromptParts(headerOf(item, dependencies.names.promptPrefix))
    this.#wait = new ItemWait(dependencies.logger, { job: job.id, item: item.id }, dependencies.metrics)
  }

  /** Progress of the item, or null before the first event. */
  get progress (): ItemProgress | null {
    return this.#output.progress
  }

  /** Runs the item to its result; returns null if the run was stopped. */
  async run (): Promise<ItemOutcome | null> {
    const progress = await this.savedProgress
    if (progress !== null) {
      this.#output.restore(progress)
      this.dependencies.logger.info('item goes on', { job: this.job.id, item: this.item.id, after: progress.lastId })
    }
    while (!this.#stop.signal.aborted) {
      const route = this.#currentRoute()
      if (route === null) {
        if (await this.#isGivenUp()) {
          return { state: ItemState.Abandoned, text: '' }
        }
        continue
      }
      const outcome = await this.#attempt(route)
      if (outcome !== null) {
        return outcome
      }
    }
    return null
  }

  /** Returns the item's route, or null if the item is to be given up by the configuration that this process knows. */
  #currentRoute (): Route | null {
    const route = this.dependencies.routeOf(this.job.route)
    const isOver = route === null || Date.now() >= this.job.acceptedAt + route.retentionMilliseconds || this.#failedResponses >= route.maxAttempts
    return isOver ? null : route
  }

  /**
   * Whether the item is given up. A result is final, so the configuration is read first: this process may not know yet that a route was added or
   * changed, for example after a pause.
   */
  async #isGivenUp (): Promise<boolean> {
    this.#wait.end()
    const startedAt = Date.now()
    if (!await this.dependencies.refreshRoutes()) {
      await sleep(refreshRetryMilliseconds)
      return false
    }
    return !this.#stop.signal.aborted && Date.now() - startedAt <= maximumRefreshMilliseconds && this.#currentRoute() === null
  }

  /** Stops the run immediately; a target stops working on the item when the connection closes. */
  stop (): void {
    this.#stop.abort()
    this.#wait.end()
  }

  /** Status of the current attempt's response, or null before its head. */
  get #status (): number | null {
    return this.#head?.status ?? null
  }

  /** Makes one attempt; returns the result of the item, or null if it needs another attempt. */
  async #attempt (route: Route): Promise<ItemOutcome | null> {
    const service = this.#serviceOf(route)
    if (service === null) {
      await sleep(retryMilliseconds)
      return null
    }
    if (this.#digest === '') {
      this.#digest = requestDigest({ host: route.host, method: itemMethod, path: this.item.path, body: this.item.body })
    }
    const startedAt = Date.now()
    this.#wait.begin(startedAt)
    const result = await this.#acquire(route, service)
    if (!result.granted) {
      this.#onNoSlot(service, result, startedAt)
      return null
    }
    this.#wait.end()
    this.#versionWait.reset()
    this.#excluded = []
    return await this.#dispatchSafely(route, service, result.slot)
  }

  /** Returns the service for an attempt; an output that has begun goes on at its service, and begins anew if the route has that no more. */
  #serviceOf (route: Route): string | null {
    const begun = this.#output.origin?.service
    if (begun === undefined) {
      return this.dependencies.serviceOf(route)
    }
    if (!route.services.some(({ service }) => service === begun)) {
      this.#beginAnew('the route has no such service any more')
      return this.dependencies.serviceOf(route)
    }
    return begun
  }

  /** Tells why the item waits, and begins its output anew if {@link VersionWait} says so. */
  #onNoSlot (service: string, { reason, wait }: SlotRejection, startedAt: number): void {
    if (this.#stop.signal.aborted) {
      return
    }
    const now = Date.now()
    if (wait !== undefined) {
      this.#wait.onCause(service, wait, now)
    }
    const reasonToBegin = this.#output.origin === null ? null : this.#versionWait.record({ reason, cause: wait?.cause ?? null, waited: now - startedAt }, this.#ranMilliseconds)
    if (reasonToBegin !== null) {
      this.#beginAnew(reasonToBegin)
    }
  }

  #beginAnew (reason: string): void {
    const { origin, lastId } = this.#output
    this.dependencies.logger.info('item begins anew', { job: this.job.id, item: this.item.id, service: origin?.service, version: origin?.softwareVersion, after: lastId, reason, waited: this.#versionWait.milliseconds })
    this.#output.discard()
    this.#writer = null
    this.#versionWait.reset()
  }

  get #origin (): StreamOrigin | null {
    const { origin } = this.#output
    return origin === null ? null : { softwareVersion: origin.softwareVersion, target: this.#writer?.id ?? '', born: this.#writer?.born ?? 0 }
  }

  /** Waits for a slot, no longer than the item may wait before its route and retention are checked again. */
  async #acquire (route: Route, service: string): Promise<AcquireResult> {
    const untilRetention = this.job.acceptedAt + route.retentionMilliseconds - Date.now()
    const wait = new AbortController()
    const timer = setTimeout(() => { wait.abort() }, Math.max(0, Math.min(slotWaitMilliseconds, untilRetention + 1)))
    const demand = this.#demand(route, service)
    try {
      return await this.dependencies.slots.acquire(demand, AbortSignal.any([this.#stop.signal, wait.signal]))
    } finally {
      clearTimeout(timer)
    }
  }

  #demand (route: Route, service: string): SlotDemand {
    return {
      service,
      workClass: WorkClass.Batch,
      prefix: this.#parts,
      digest: this.#digest,
      excluded: this.#excluded,
      continues: this.#origin,
      // These apply to online requests only; batch items wait without a limit.
      patience: 0,
      spent: 0,
      latestReturn: 0,
      due: this.job.acceptedAt + route.completionMilliseconds,
      ran: this.#ranMilliseconds,
      sinceStart: this.#startedAt === null ? 0 : Date.now() - this.#startedAt,
      ...this.#caller(route)
    }
  }

  /** Returns the account of the job as the caller of its items, which its allowance does not count. */
  #caller (route: Route): { readonly caller?: SlotCaller } {
    const { account } = this.job
    if (account === undefined) {
      return {}
    }
    const rank = this.#accounts?.findByName(account)?.rank ?? route.priority
    return { caller: { account, rank, tokens: this.item.tokens, isCounted: true } }
  }

  get #accounts (): AccountDirectory | null {
    return this.dependencies.accounts?.() ?? null
  }

  /** Like {@link #dispatch}, but also gives the slot back if that throws; the item then needs another attempt. */
  async #dispatchSafely (route: Route, service: string, slot: Slot): Promise<ItemOutcome | null> {
    try {
      return await this.#dispatch(route, service, slot)
    } catch (error) {
      this.dependencies.logger.error('item run failed', { job: this.job.id, item: this.item.id, target: slot.target.id, error: messageOf(error), stack: error instanceof Error ? error.stack : null })
      slot.release(SlotOutcome.Stopped)
      this.#excluded = [slot.target.id]
      await this.#backOff()
      return null
    }
  }

  /** Sends the item to the target and releases the slot at the end; returns the result of the item, or null if it needs another attempt. */
  async #dispatch (route: Route, service: string, slot: Slot): Promise<ItemOutcome | null> {
    const { target } = slot
    this.#head = null
    this.#output.startStream({ service, softwareVersion: target.softwareVersion })
    const resumedAfter = this.#output.lastId
    const sentAt = Date.now()
    this.#startedAt ??= sentAt
    const progress = new AnswerProgress(this.#output.lastId ?? 0, place => { slot.markSound(place) })
    const call = callTarget(this.dependencies.connections, target, {
      id: this.item.id,
      method: itemMethod,
      path: this.item.path,
      headers: this.#headers(route),
      body: this.item.body,
      remainingMilliseconds: null
    }, this.dependencies.names, {
      onLeaving: () => { slot.markLeaving() },
      onRateLimit: requestsPerSecond => { slot.recordRateLimit(requestsPerSecond, call.sentAt ?? sentAt) },
      onForeign: head => {
        this.dependencies.logger.warn('response to another request skipped', { request: this.item.id, target: target.id, status: head.status, other: head.headers[this.dependencies.names.requestId] ?? null })
      },
      onHead: head => {
        this.#head = head
        if (head.status !== okStatus) {
          call.skipBody()
        }
      },
      onData: chunk => {
        if (this.#output.push(chunk)) {
          this.#writer = target
          eventAt = Date.now()
          unresponsiveTimer.refresh()
        }
        progress.onData(this.#status, this.#output.lastId ?? 0)
        readTimer ??= setTimeout(() => {
          readTimer = null
          call.resume()
        }, readIntervalMilliseconds)
        return false
      }
    })
    let readTimer: NodeJS.Timeout | null = null
    let eventAt = sentAt
    const unresponsiveTimer = setTimeout(() => {
      const silentSince = eventAt
      // After a pause of this process, the target's data may have arrived already.
      call.resume()
      afterNextRead(() => {
        if (eventAt === silentSince) {
          call.abort(unresponsiveReason)
        }
      })
    }, unresponsiveTimeoutMilliseconds)
    const expiryMilliseconds = this.job.acceptedAt + route.retentionMilliseconds - Date.now() + 1
    const expiryTimer = setTimeout(() => { call.abort(expiredReason) }, Math.min(expiryMilliseconds, maximumDelayMilliseconds))
    const onRevoked = (): void => {
      // Reads the events that have arrived since the last read, so that the next target need not make them again.
      call.resume()
      afterNextRead(() => { call.abort('slot revoked') })
    }
    const onStop = (): void => { call.abort('run stopped') }
    slot.revoked.addEventListener('abort', onRevoked, { once: true })
    this.#stop.signal.addEventListener('abort', onStop, { once: true })
    if (slot.revoked.aborted) {
      onRevoked()
    }
    const ended = await call.ended
    const { end: outcome, reason } = this.#status === okStatus ? this.#output.endOf(ended) : ended
    clearTimeout(unresponsiveTimer)
    clearTimeout(expiryTimer)
    if (readTimer !== null) {
      clearTimeout(readTimer)
    }
    this.#stop.signal.removeEventListener('abort', onStop)
    this.#ranMilliseconds += Date.now() - sentAt
    const stopped = outcome !== CallOutcome.Complete && (slot.revoked.aborted || this.#stop.signal.aborted || reason === expiredReason)
    const timing = outcome === CallOutcome.Complete && resumedAfter === null && call.via === null ? progress.timingOf(this.#status, call.sentAt) : null
    const endedCall = { end: outcome, reason, status: this.#status, sentAt: call.sentAt ?? sentAt, firstDataAt: progress.firstDataAt, evidence: { isSound: progress.isSound, place: this.#output.lastId ?? 0, ...(timing === null ? {} : { timing }) }, endedAt: Date.now() }
    if (stopped) {
      slot.release(call.sentAt === null ? SlotOutcome.NotRun : SlotOutcome.Stopped, endedCall.evidence)
    } else {
      void releaseSlot(slot, call, endedCall, this.dependencies.connections)
    }
    this.dependencies.logger.info('item run ended', { job: this.job.id, item: this.item.id, target: target.id, version: target.softwareVersion, via: call.via, after: resumedAfter, end: outcome, reason, status: this.#status, events: this.#output.events, took: Date.now() - sentAt, ...(outcome === CallOutcome.Disconnected ? { digest: this.#digest, parts: this.#parts.map(promptPartDigest) } : {}) })
    return await this.#onCallEnd(outcome, target, stopped, resumedAfter)
  }

  #headers (route: Route): string[] {
    const { names } = this.dependencies
    const { account } = this.job
    // Records of earlier builds may hold keys in the headers of items.
    const ofAccounts = account !== undefined || this.#accounts !== null ? accountHeadersOf(names) : []
    const headers = forwardedHeaders(this.item.headers, new Set([names.requestId, 'host', 'content-length', ...ofAccounts]))
    headers.push('Host', route.host, names.requestId, this.item.id, ...accountHeader(names, account ?? ''))
    if (this.#output.lastId !== null) {
      headers.push('Last-Event-Id', String(this.#output.lastId))
    }
    return headers
  }

  async #onCallEnd (outcome: CallOutcome, target: TargetEndpoint, stopped: boolean, resumedAfter: number | null): Promise<ItemOutcome | null> {
    if (outcome === CallOutcome.Complete && this.#status === okStatus) {
      return { state: ItemState.Completed, text: this.#output.text }
    }
    if (this.#status === unprocessableStatus) {
      return { state: ItemState.Abandoned, text: '' }
    }
    if ((outcome === CallOutcome.Complete || outcome === CallOutcome.EndUnknown) && this.#status === failedStatus) {
      this.#failedResponses += 1
    } else if (outcome === CallOutcome.Complete && resumedAfter !== null && isClientError(this.#status)) {
      this.#output.recordRefusedRest()
    }
    if (!stopped) {
      this.#excluded = [target.id]
      await this.#backOff()
    }
    return null
  }

  /** Backs off exponentially in the number of consecutive attempts without a new event. */
  async #backOff (): Promise<void> {
    const hasProgress = this.#output.events > this.#eventsAtLastFailure
    this.#eventsAtLastFailure = this.#output.events
    this.#failuresWithoutProgress = hasProgress ? 0 : this.#failuresWithoutProgress + 1
    await sleep(Math.min(maximumRetryMilliseconds, retryMilliseconds * 2 ** Math.max(0, this.#failuresWithoutProgress - 1)))
  }
}

/** Whether the status says that the target does not accept the request: https://www.rfc-editor.org/rfc/rfc9110#section-15.5 */
function isClientError (status: number | null): boolean {
  return status !== null && status >= firstClientErrorStatus && status < firstServerErrorStatus
}

function headerOf (item: JobItem, name: string): string {
  const index = item.headers.findIndex((header, position) => position % 2 === 0 && header.toLowerCase() === name)
  return item.headers[index + 1] ?? ''
}

/** Runs one online request: acquires a slot, dispatches to a target, retries or resumes after failures, and relays the response. */
import type { ServerResponse } from 'node:http'
import { RouteKind, SlotOutcome } from '@arbutusloft/policy'
import { WorkClass } from '@arbutusloft/protocol'
import { refuse, reply, Status } from '../http/reply.js'
import type { GatewayMetrics } from '../metrics.js'
import type { Slot, SlotAnswer } from '../permits/slot.js'
import type { SlotClient } from '../permits/slot-client.js'
import { callTarget, CallEnd } from '../targets/target-call.js'
import { failedStatus, outcomeOf, silentReason } from '../targets/call-outcome.js'
import type { TargetConnections } from '../targets/target-connections.js'
import type { Target, TargetRegistry } from '../targets/target-registry.js'
import type { Logger } from '../util/logger.js'
import { ClientAnswer } from './client-answer.js'
import type { HeaderNames } from './header-names.js'
import { isRepeatable } from './online-request.js'
import type { OnlineRequest } from './online-request.js'

/** Dependencies of {@link OnlineRun}. */
export interface OnlineRunnerParts {
  readonly slots: SlotClient
  readonly targets: TargetRegistry
  readonly connections: TargetConnections
  readonly names: HeaderNames
  readonly metrics: GatewayMetrics
  readonly logger: Logger
}

/** Share of the route's latency objective that a request may wait for a slot; the rest is left for processing the prompt. */
const patienceShare = 0.75
/** Targets that may reject a request, or prove unreachable, before the request is rejected. */
const greatestRefusals = 4
/** Time without data after which a target counts as unresponsive and the request goes to another one; ten times a slow gap between events. */
const silenceMilliseconds = 700
/** Time until the deadline below which no further attempt is made. */
const leastRemaining = 50
/** Upper bound of `Retry-After`, so that clients retry within the latency objective. */
const greatestRetryAfter = 150

const millisecondsPerSecond = 1_000

/** Handles one online request. */
export class OnlineRun {
  readonly #abort = new AbortController()
  readonly #answer: ClientAnswer
  readonly #startedAt = Date.now()
  readonly #excluded: string[] = []
  #executions = 0
  #refusals = 0
  #clientGone = false

  constructor (
    private readonly parts: OnlineRunnerParts,
    private readonly request: OnlineRequest,
    private readonly response: ServerResponse
  ) {
    this.#answer = new ClientAnswer(response, request.route.kind === RouteKind.Stream)
  }

  /** Runs the request until the client has its final response or has disconnected. */
  async run (): Promise<void> {
    const onClose = (): void => {
      this.#clientGone = !this.response.writableFinished
      this.#abort.abort()
    }
    this.response.once('close', onClose)
    const timer = setTimeout(() => { this.#abort.abort() }, this.#remaining())
    try {
      await this.#runAttempts()
    } finally {
      clearTimeout(timer)
      this.response.off('close', onClose)
    }
  }

  async #runAttempts (): Promise<void> {
    for (;;) {
      const answer = await this.#acquire()
      if (!answer.granted) {
        this.#onNoSlot(answer.retryAfter)
        return
      }
      const target = this.parts.targets.get(answer.slot.target)
      if (target === undefined) {
        answer.slot.release(SlotOutcome.Unreachable)
        this.#refusals += 1
      } else if (await this.#dispatch(answer.slot, target)) {
        return
      }
      if (this.#refusals > greatestRefusals) {
        this.#onNoSlot(0)
        return
      }
    }
  }

  async #acquire (): Promise<SlotAnswer> {
    const { route, service, prefix } = this.request
    const patience = Math.min(route.objectiveMilliseconds * patienceShare, this.#remaining())
    const excluded = this.#excluded
    return await this.parts.slots.acquire(
      { service, workClass: WorkClass.Online, prefix, excluded, patience, due: 0 },
      this.#abort.signal
    )
  }

  /** Sends the request to the target; returns true if the request is finished, and false if it needs another attempt. */
  async #dispatch (slot: Slot, target: Target): Promise<boolean> {
    const { request, parts } = this
    const headers = [...request.headers]
    const resumeAfter = this.#answer.lastId ?? request.lastEventId
    if (resumeAfter !== null) {
      headers.push('Last-Event-Id', String(resumeAfter))
    }
    const sentAt = Date.now()
    let silence: NodeJS.Timeout | null = null
    let status: number | null = null
    let isDropped = false
    const call = callTarget(parts.connections, target, {
      id: request.id,
      method: request.method,
      path: request.path,
      headers,
      body: request.body,
      isRepeatable: isRepeatable(request.route),
      remaining: request.hasDeadline ? this.#remaining() : null
    }, parts.names, {
      onHead: head => {
        status = head.status
        isDropped = status === failedStatus && this.#mayRepeat() && this.#remaining() >= leastRemaining
        if (isDropped) {
          return
        }
        if (!this.#answer.accepts(head)) {
          call.abort(`status ${head.status} instead of the rest of the stream`)
          return
        }
        this.#answer.onHead(head)
      },
      onData: chunk => {
        silence?.refresh()
        if (isDropped) {
          return true
        }
        const hadBegun = this.#answer.begun
        const flows = this.#answer.onData(chunk)
        if (!hadBegun && this.#answer.begun) {
          parts.metrics.firstByte.observe((Date.now() - this.#startedAt) / millisecondsPerSecond)
        }
        if (!flows) {
          this.response.once('drain', () => { call.resume() })
        }
        return flows
      }
    })
    if (this.#mayRepeat()) {
      silence = setTimeout(() => { call.abort(silentReason) }, silenceMilliseconds)
    }
    const onAbort = (): void => { call.abort(this.#clientGone ? 'client disconnected' : 'deadline exceeded') }
    this.#abort.signal.addEventListener('abort', onAbort, { once: true })
    const { end, reason } = await call.ended
    if (silence !== null) {
      clearTimeout(silence)
    }
    this.#abort.signal.removeEventListener('abort', onAbort)
    slot.release(this.#abort.signal.aborted ? SlotOutcome.Finished : outcomeOf(end, reason, status))
    parts.logger.info('dispatch ended', { request: request.id, route: request.route.name, target: target.id, end, reason, waited: sentAt - this.#startedAt, took: Date.now() - sentAt, status })
    // A failed response that was not relayed is handled like an interrupted one: the target ran the request, and the client got nothing.
    return this.#onCallEnd(isDropped && end === CallEnd.Complete ? CallEnd.Broken : end, target)
  }

  #onCallEnd (end: CallEnd, target: Target): boolean {
    switch (end) {
      case CallEnd.Complete:
        this.#answer.end()
        this.#count('served')
        return true
      case CallEnd.NotExecuted:
      case CallEnd.Unreachable:
        this.#refusals += 1
        this.#excluded.push(target.id)
        return this.#abort.signal.aborted && this.#giveUp()
      case CallEnd.Broken: {
        const mayRepeat = this.#mayRepeat()
        this.#executions += 1
        this.#excluded.push(target.id)
        return (this.#abort.signal.aborted || !mayRepeat || this.#remaining() < leastRemaining) && this.#giveUp()
      }
    }
  }

  /** Whether the request may be sent to another target if the current attempt fails after it may have run. */
  #mayRepeat (): boolean {
    const { route } = this.request
    return isRepeatable(route) && this.#answer.mayContinue && this.#executions + 1 < route.maxAttempts
  }

  /** Finishes the request without a complete response; returns true, as {@link #onCallEnd} does for a finished request. */
  #giveUp (): boolean {
    if (this.#clientGone) {
      this.#count('client_gone')
    } else if (this.#answer.begun) {
      this.#answer.abandon()
      this.#count('broken_off')
    } else if (this.#executions > 0) {
      reply(this.response, this.#abort.signal.aborted ? Status.GatewayTimeout : Status.BadGateway, { error: 'outcome unknown: the request may have run' })
      this.#count('outcome_unknown')
    } else {
      refuse(this.response, Status.ServiceUnavailable, 'not run: no target accepted the request before the deadline', 0)
      this.#count('refused')
    }
    return true
  }

  #onNoSlot (retryAfter: number): void {
    if (this.#clientGone || this.#answer.begun || this.#executions > 0 || this.#abort.signal.aborted) {
      this.#giveUp()
      return
    }
    const waited = Date.now() - this.#startedAt
    this.parts.logger.info('refused', { request: this.request.id, route: this.request.route.name, waited, retryAfter, refusals: this.#refusals })
    refuse(this.response, Status.ServiceUnavailable, 'not run: all targets are busy', Math.min(retryAfter, greatestRetryAfter))
    this.#count('refused')
  }

  #remaining (): number {
    return Math.max(0, this.request.deadline - Date.now())
  }

  #count (outcome: string): void {
    const { route } = this.request
    this.parts.metrics.requests.inc({ route: route.name, outcome })
    this.parts.metrics.duration.observe({ outcome }, (Date.now() - this.#startedAt) / millisecondsPerSecond)
  }
}

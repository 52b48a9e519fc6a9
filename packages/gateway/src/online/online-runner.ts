/** Takes a request from its route to a whole answer: slot, dispatch, resume, relay. */
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

/** What the runner works with. */
export interface OnlineRunnerParts {
  readonly slots: SlotClient
  readonly targets: TargetRegistry
  readonly connections: TargetConnections
  readonly names: HeaderNames
  readonly metrics: GatewayMetrics
  readonly logger: Logger
}

/** Part of the objective that a request may wait for a slot; the rest is for reading the prompt. */
const patienceShare = 0.75
/** Targets that may refuse a request, having not run it, before the client is told. */
const greatestRefusals = 4
/** Milliseconds without an event after which a resumable stream goes on elsewhere: ten times a slow gap. */
const silenceMilliseconds = 700
/** Milliseconds that must be left for another try to make sense. */
const leastRemaining = 50
/** Longest `Retry-After` in milliseconds, so that clients come back within the objective. */
const greatestRetryAfter = 150

const millisecondsPerSecond = 1_000

/** One run of the online path. */
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

  /** Runs the request to its final answer. */
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

  /** Sends the request to the target; true if the client has its final answer. */
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
          call.abort(`status ${head.status} in place of the rest of a stream`)
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
    const onAbort = (): void => { call.abort(this.#clientGone ? 'client gone' : 'deadline') }
    this.#abort.signal.addEventListener('abort', onAbort, { once: true })
    const { end, reason } = await call.ended
    if (silence !== null) {
      clearTimeout(silence)
    }
    this.#abort.signal.removeEventListener('abort', onAbort)
    slot.release(this.#abort.signal.aborted ? SlotOutcome.Finished : outcomeOf(end, reason, status))
    parts.logger.info('dispatch ended', { request: request.id, route: request.route.name, target: target.id, end, reason, waited: sentAt - this.#startedAt, took: Date.now() - sentAt, status })
    // A failure that is not passed on leaves the client where a broken answer does.
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

  /** Whether the request may be sent to a further target after this one. */
  #mayRepeat (): boolean {
    const { route } = this.request
    return isRepeatable(route) && this.#answer.mayContinue && this.#executions + 1 < route.maxAttempts
  }

  #giveUp (): boolean {
    if (this.#clientGone) {
      this.#count('client_gone')
    } else if (this.#answer.begun) {
      this.#answer.abandon()
      this.#count('broken_off')
    } else if (this.#executions > 0) {
      reply(this.response, this.#abort.signal.aborted ? Status.GatewayTimeout : Status.BadGateway, { error: 'the outcome is unknown' })
      this.#count('outcome_unknown')
    } else {
      refuse(this.response, Status.ServiceUnavailable, 'not run: no target took the request in time', 0)
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

/** Counts the bytes of responses that callers have not read, and ends the connections of callers that have stopped reading. */
import type { ServerResponse } from 'node:http'
import { HeldKind, RoomDecision, smallBytes } from '@arbutusloft/policy'
import { Alarm } from '../util/alarm.js'
import type { Logger } from '../util/logger.js'
import type { HeldBytes, HeldPart } from './held-bytes.js'

/** Time between looks at the responses in flight. */
const checkMilliseconds = 250
/** Time for which a caller may leave a response unread; clients of the platform wait for 6 s at most, and close then. */
const unreadTimeoutMilliseconds = 15_000

interface TrackedResponse {
  /** Null before the response has left anything unread. */
  part: HeldPart | null
  /** Bytes that were counted before they were written. */
  reserved: number
  /** Bytes that the connection has taken. */
  taken: number
  /** Time at which it last took bytes, or had none to take, in milliseconds since the epoch. */
  progressAt: number
}

/** Looks at the responses in flight from time to time. */
export class UnreadResponses {
  readonly #responses = new Map<ServerResponse, TrackedResponse>()
  readonly #alarm = new Alarm(now => this.#check(now))

  constructor (private readonly held: HeldBytes, private readonly logger: Logger) {}

  /** Counts what a response leaves unread, until it is closed. */
  track (response: ServerResponse): void {
    const now = Date.now()
    this.#responses.set(response, { part: null, reserved: 0, taken: 0, progressAt: now })
    response.once('close', () => {
      this.#responses.get(response)?.part?.close()
      this.#responses.delete(response)
    })
    this.#alarm.setBy(now + checkMilliseconds)
  }

  /** Counts the body of a response that is about to be written; returns false if there is no room for it. */
  reserve (response: ServerResponse, bytes: number): boolean {
    const tracked = this.#responses.get(response)
    if (tracked === undefined || bytes <= smallBytes) {
      return true
    }
    tracked.part ??= this.held.open(HeldKind.Response)
    if (tracked.part.grow(bytes) !== RoomDecision.Granted) {
      this.held.recordRefusal(HeldKind.Response)
      return false
    }
    tracked.reserved = bytes
    return true
  }

  close (): void {
    this.#alarm.close()
  }

  #check (now: number): number {
    for (const [response, tracked] of this.#responses) {
      const { socket } = response
      if (socket === null) {
        continue
      }
      // Covers what the response holds and what its connection holds.
      const unread = response.writableLength
      if (unread > 0 && tracked.part === null) {
        tracked.part = this.held.open(HeldKind.Response)
      }
      tracked.part?.set(Math.max(unread, tracked.reserved))
      const taken = socket.bytesWritten - socket.writableLength
      if (unread === 0 || taken !== tracked.taken) {
        tracked.taken = taken
        tracked.progressAt = now
      } else if (now - tracked.progressAt >= unreadTimeoutMilliseconds) {
        this.held.recordRefusal(HeldKind.Response)
        this.logger.info('response not read, connection ended', { unread, milliseconds: now - tracked.progressAt })
        socket.resetAndDestroy()
      }
    }
    return this.#responses.size === 0 ? Infinity : now + checkMilliseconds
  }
}

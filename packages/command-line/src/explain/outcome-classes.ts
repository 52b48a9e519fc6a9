/** Registry of the classes into which the ends of requests and items fall, with what an operator can do about each. */
import type { History } from './history.js'
import type { LogLine } from './log-line.js'

/** A class of outcomes. The first class in the registry that a history matches is its class. */
export interface OutcomeClass {
  readonly name: string
  /** What happened, and what to look at next. */
  readonly meaning: string
  readonly matches: (history: History) => boolean
}

const failedStatus = 500
const unprocessableStatus = 422
/** Share of the time to the first event for which a late request has waited for a slot if that is why it is late. */
const waitingShare = 0.5

function lastLine ({ lines }: History): LogLine | undefined {
  return lines.at(-1)
}

function isOnline (history: History, message: string): boolean {
  return !history.isItem && lastLine(history)?.message === message
}

/** Whether the last call to a target ended in one of these ways. */
function endsWith (history: History, ends: readonly string[], reason = ''): boolean {
  const fields = lastLine(history)?.fields
  return isOnline(history, 'dispatch ended') && ends.includes(String(fields?.end)) && String(fields?.reason).startsWith(reason)
}

function isServed (history: History): boolean {
  const { status, reason } = lastLine(history)?.fields ?? {}
  return endsWith(history, ['complete', 'end-unknown']) && status !== failedStatus && reason === ''
}

function isLate (history: History): boolean {
  return isServed(history) && lastLine(history)?.fields.late === true
}

function waitedLong (history: History): boolean {
  const { waited, first } = lastLine(history)?.fields ?? {}
  return Number(waited) > Number(first) * waitingShare
}

function runsOf (history: History): readonly LogLine[] {
  return history.lines.filter(({ message }) => message === 'item run ended')
}

function isFinishedItem (history: History): boolean {
  return history.isItem && runsOf(history).at(-1)?.fields.end === 'complete' && runsOf(history).at(-1)?.fields.status === 200
}

/** Whether an online request was sent again after an attempt that failed; a question for the rest of a stream whose end is unknown follows none. */
function hasFailedAttempt ({ lines }: History): boolean {
  return lines.slice(0, -1).some(({ message, fields }) => message === 'dispatch ended' && fields.end !== 'end-unknown')
}

function wasRevoked ({ fields }: LogLine): boolean {
  return fields.reason === 'slot revoked'
}

/** All classes, the more specific ones first. */
export const outcomeClasses: readonly OutcomeClass[] = [
  { name: 'late after a failed attempt', meaning: 'served by another target; look at why the first one failed', matches: history => isLate(history) && hasFailedAttempt(history) },
  { name: 'late, waited for a slot', meaning: 'all slots were taken; see what else ran, and whether targets were lost', matches: history => isLate(history) && waitedLong(history) },
  { name: 'late at its target', meaning: 'the target took long to the first event; see its other requests', matches: isLate },
  { name: 'served after a failed attempt', meaning: 'in time all the same', matches: history => isServed(history) && hasFailedAttempt(history) },
  { name: 'served', meaning: 'in time', matches: isServed },
  { name: 'served, end not confirmed', meaning: 'the target ended the stream in order without framing, and nothing told in time whether events follow', matches: history => isOnline(history, 'end of stream not confirmed') },
  { name: 'refused, all slots taken', meaning: 'has not run; the caller was told when to come back', matches: history => isOnline(history, 'refused') && Number(lastLine(history)?.fields.refusals) === 0 },
  { name: 'refused by targets', meaning: 'has not run; targets were full or out of reach: look at their other lines', matches: history => isOnline(history, 'refused') },
  { name: 'no route', meaning: 'the configuration of that version has no route for the path', matches: history => isOnline(history, 'no route') },
  { name: 'client gone', meaning: 'the client disconnected before the end', matches: history => endsWith(history, ['broken', 'not-executed'], 'client gone') },
  { name: 'deadline', meaning: 'the time of the request was over; long silence of its target, or a late start', matches: history => endsWith(history, ['broken', 'not-executed'], 'deadline') },
  { name: 'failed by its target', meaning: 'the target ran the request and answered 500', matches: history => endsWith(history, ['complete', 'end-unknown']) && lastLine(history)?.fields.status === failedStatus },
  { name: 'target silent', meaning: 'no data for too long; the request may have run', matches: history => endsWith(history, ['broken'], 'target silent') },
  { name: 'broken off by its target', meaning: 'it may have run, and may not be repeated or was tried often enough', matches: history => endsWith(history, ['broken', 'disconnected', 'end-unknown']) },
  { name: 'not taken by a target', meaning: 'has not run; the targets were out of reach or another stood at the address', matches: history => isOnline(history, 'dispatch ended') },
  { name: 'item finished in one run', meaning: '', matches: history => isFinishedItem(history) && runsOf(history).length === 1 },
  { name: 'item finished after losing its slot', meaning: 'preempted by online requests and resumed', matches: history => isFinishedItem(history) && runsOf(history).slice(0, -1).every(wasRevoked) },
  { name: 'item finished after failures', meaning: 'resumed at other targets', matches: isFinishedItem },
  { name: 'item impossible', meaning: 'its target answered 422', matches: history => history.isItem && runsOf(history).at(-1)?.fields.status === unprocessableStatus },
  { name: 'item result', meaning: 'its result was appended', matches: history => history.isItem && runsOf(history).length === 0 },
  { name: 'item not finished', meaning: 'it waits or runs on, its job has ended, or another instance has taken it over', matches: history => history.isItem }
]

/** Returns the class of a history; every history has one, since the last class of each kind takes the rest. */
export function classify (history: History): OutcomeClass | undefined {
  return outcomeClasses.find(({ matches }) => matches(history))
}

/**
 * An upper bound of a day's worth: the day's mean arrivals are served with perfect knowledge, at once
 * and anywhere; online requests that can be in time first, then items by their due time, which keep what
 * they have received. Chance, sizes of requests and all prices but that of machines are left out.
 */
import { conditionsOf, isWithin } from './day-conditions.js'
import type { DayConditions } from './day-conditions.js'
import type { SiteDay, SiteFile } from './site-file.js'

type SiteClass = SiteFile['classes'][number]

/** The bound and its parts. */
export interface DayBound {
  readonly day: string
  /** Earned of what is owed, over the day. */
  readonly whole: number
  /** The same over the two worst windows. */
  readonly windows: number
  /** The same over the worst kind of request. */
  readonly worstClass: number
  /** Price of machines. */
  readonly machines: number
  readonly bound: number
}

interface Work {
  readonly kind: SiteClass
  readonly at: number
  /** Milliseconds of a slot that are still needed. */
  rest: number
  /** Time at which the answer is late, in seconds. */
  readonly due: number
  worth: number
  begun: boolean
}

const stepSeconds = 0.01
const millisecondsPerSecond = 1_000
const windowSeconds = 2
const worstWindows = 2
/** Milliseconds from a client to a target and back, and of one step of a target. */
const wayMilliseconds = 15
/** Seconds after the end of traffic in which items may still finish. */
const finishSeconds = 18
const batchKind = 'batch'

/** The bound of a day. */
export function boundOf (site: SiteFile, day: SiteDay): DayBound {
  const conditions = conditionsOf(site, day)
  const work = arrivalsOf(site, day, conditions)
  serve(site, work, conditions)
  const whole = shareOf(work)
  const windows = averageOf(groupShares(work, entry => Math.floor(entry.at / windowSeconds)).slice(0, worstWindows))
  const worstClass = groupShares(work, entry => entry.kind.name)[0] ?? 1
  const owed = work.reduce((sum, entry) => sum + entry.kind.worth, 0)
  const machineCount = site.machines.reduce((sum, { count }) => sum + count, 0)
  const machines = site.prices.machine_s * machineCount * (site.lead_s + conditions.length) / owed
  const { goal } = site
  const bound = goal.mean * whole + goal.window * windows + goal.class * worstClass + goal.zone * whole - machines
  return { day: day.name, whole, windows, worstClass, machines, bound }
}

function arrivalsOf (site: SiteFile, day: SiteDay, { length }: DayConditions): Work[] {
  const work: Work[] = []
  const due = new Map<string, number>()
  for (let step = 0; step * stepSeconds < length; step += 1) {
    const at = step * stepSeconds
    for (const { mix, per_s: perSecond, shape } of day.traffic) {
      const total = Object.values(mix).reduce((sum, share) => sum + share, 0)
      const factor = [...shape.steps ?? []].reverse().find(([from]) => from <= at)?.[1] ?? 1
      for (const kind of site.classes.filter(candidate => mix[candidate.name] !== undefined)) {
        const count = (due.get(kind.name) ?? 0) + perSecond * factor * (site.thin ?? 1) * (mix[kind.name] ?? 0) / total * stepSeconds
        due.set(kind.name, count % 1)
        for (let arrival = 1; arrival <= count; arrival += 1) {
          work.push(...workOf(site, kind, at))
        }
      }
    }
  }
  return work
}

/** An online request, or the items of a job. */
function workOf (site: SiteFile, kind: SiteClass, at: number): readonly Work[] {
  const { step_ms: step, stride, prefill_tokens_per_ms: read } = site.services[0]?.llm ?? { step_ms: 0, stride: 0, prefill_tokens_per_ms: 1 }
  const rest = kind.stream.prompt_tokens.mean / read + kind.stream.pieces.mean * stride * step
  const count = kind.kind === batchKind ? Math.round(kind.lot?.items.mean ?? 1) : 1
  const due = at + (kind.lot?.run_aim_ms ?? kind.aim_ms) / millisecondsPerSecond
  return Array.from({ length: count }, () => ({ kind, at, rest, due, worth: 0, begun: false }))
}

function serve (site: SiteFile, work: readonly Work[], conditions: DayConditions): void {
  const slotsOfTarget = site.services[0]?.slots ?? 0
  let online: Work[] = []
  let batch: Work[] = []
  let next = 0
  for (let step = 0; step * stepSeconds < conditions.length + finishSeconds; step += 1) {
    const now = step * stepSeconds
    for (; (work[next]?.at ?? Infinity) <= now; next += 1) {
      const entry = work[next]
      if (entry !== undefined) {
        (entry.kind.kind === batchKind ? batch : online).push(entry)
      }
    }
    if (isWithin(now, conditions.withoutInstances)) {
      // Whoever was being served has to come again.
      online.forEach(entry => { entry.begun = false })
      continue
    }
    const lost = conditions.lostTargets.filter(span => isWithin(now, [span])).reduce((count, span) => count + span.count, 0)
    const slots = slotsOfTarget * Math.max(0, conditions.targets - lost)
    online = advance(byUrgency(online, now), slots, entry => { beginOnline(entry, now) })
    batch = advance(batch.sort((left, right) => left.due - right.due), slots - online.filter(entry => entry.begun).length, entry => {
      entry.begun = true
    }, entry => { finishItem(entry, now, conditions) })
  }
}

/** Those that are served, then those that can be in time, then the late ones. */
function byUrgency (online: readonly Work[], now: number): Work[] {
  const rank = (entry: Work): number => entry.begun ? 0 : now + wayMilliseconds / millisecondsPerSecond <= entry.due ? 1 : 2
  return [...online].sort((left, right) => rank(left) - rank(right) || left.at - right.at)
}

/** Gives the first ones a slot for one step; returns those that are not finished. */
function advance (queue: readonly Work[], slots: number, begin: (entry: Work) => void, finish: (entry: Work) => void = () => {}): Work[] {
  queue.slice(0, Math.max(0, slots)).forEach(entry => {
    if (!entry.begun) {
      begin(entry)
    }
    entry.rest -= stepSeconds * millisecondsPerSecond
    if (entry.rest <= 0) {
      finish(entry)
    }
  })
  return queue.filter(entry => entry.rest > 0)
}

function beginOnline (entry: Work, now: number): void {
  entry.begun = true
  entry.worth = now + wayMilliseconds / millisecondsPerSecond <= entry.due ? entry.kind.worth : entry.kind.late_worth
}

function finishItem (entry: Work, now: number, { withoutStore }: DayConditions): void {
  const acceptedInTime = !isWithin(entry.at, withoutStore) || !isWithin(entry.at + entry.kind.aim_ms / millisecondsPerSecond, withoutStore)
  entry.worth = acceptedInTime && now <= entry.due ? entry.kind.worth : entry.kind.late_worth
}

function shareOf (work: readonly Work[]): number {
  const owed = work.reduce((sum, entry) => sum + entry.kind.worth, 0)
  return owed === 0 ? 1 : work.reduce((sum, entry) => sum + entry.worth, 0) / owed
}

/** Shares by group, the worst first. */
function groupShares (work: readonly Work[], keyOf: (entry: Work) => string | number): readonly number[] {
  const groups = new Map<string | number, Work[]>()
  for (const entry of work) {
    groups.set(keyOf(entry), [...groups.get(keyOf(entry)) ?? [], entry])
  }
  return [...groups.values()].map(shareOf).sort((left, right) => left - right)
}

function averageOf (values: readonly number[]): number {
  return values.length === 0 ? 1 : values.reduce((sum, value) => sum + value, 0) / values.length
}

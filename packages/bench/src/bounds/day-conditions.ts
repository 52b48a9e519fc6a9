/** What a day's troubles take away whatever a system does: targets, all instances, the store. */
import type { SiteDay, SiteFile, SiteTrouble } from './site-file.js'

/** A time span in seconds from the start of traffic. */
export interface Span {
  readonly from: number
  readonly until: number
}

/** Conditions of a day. */
export interface DayConditions {
  /** Seconds of traffic. */
  readonly length: number
  /** Times in which no instance runs. */
  readonly withoutInstances: readonly Span[]
  /** Times in which the whole store is down. */
  readonly withoutStore: readonly Span[]
  /** Targets of the day before any is lost. */
  readonly targets: number
  /** Times in which some targets are away. */
  readonly lostTargets: ReadonlyArray<Span & { readonly count: number }>
}

/** Seconds that a process takes to start: two tenths of processor time on two thirds of a core. */
const startSeconds = 0.3
/** Seconds of traffic behind the time in which the system may recover from the closing trouble. */
const afterRecoverySeconds = 5
const closingKinds: ReadonlySet<string> = new Set(['power_off_all', 'kill_all'])

/** Reads a day's conditions. Troubles that a system can work round take nothing away. */
export function conditionsOf (site: SiteFile, day: SiteDay): DayConditions {
  const troubles = [...day.plan ?? [], ...day.faults ?? []]
  const closing = day.closing !== undefined && closingKinds.has(day.closing.kind) ? day.closing : null
  const closingSpans = closing === null ? [] : [spanOf({ ...closing, at: site.length_s, for_s: (closing.down_s ?? 0) + startSeconds })]
  const count = site.services[0]?.servers.reduce((sum, servers) => sum + servers.count, 0) ?? 0
  const targets = Math.max(1, Math.round(count * (site.thin ?? 1)))
  return {
    targets,
    length: site.length_s + (closing === null ? 0 : site.bounds.recover_s + afterRecoverySeconds),
    withoutInstances: closingSpans,
    withoutStore: troubles.filter(isWholeStoreDown).map(spanOf),
    lostTargets: troubles.flatMap(trouble => {
      const lost = lostTargetsOf(trouble, targets)
      return lost === null ? [] : [lost]
    })
  }
}

/** Crashed targets come back; those that leave, alone or as part of other planned work, do not. */
function lostTargetsOf (trouble: SiteTrouble, targets: number): DayConditions['lostTargets'][number] | null {
  const count = Math.max(1, Math.round((trouble.share ?? 0) * targets))
  const from = trouble.at ?? 0
  switch (trouble.kind) {
    case 'srv_crash':
      return { ...spanOf(trouble), count }
    case 'scale_in':
      return { from, until: Infinity, count }
    case 'platform_compact':
      return (trouble.how ?? '').includes('drain') ? { from, until: Infinity, count: 1 } : null
    default:
      return null
  }
}

function isWholeStoreDown ({ kind, how, share }: SiteTrouble): boolean {
  return kind === 'platform_down' && !(how ?? '').includes('nodes') && (share ?? 0) === 0
}

function spanOf ({ at, for_s: seconds }: SiteTrouble): Span {
  return { from: at ?? 0, until: (at ?? 0) + (seconds ?? 0) }
}

/** Whether a time is within one of the spans. */
export function isWithin (time: number, spans: readonly Span[]): boolean {
  return spans.some(span => time >= span.from && time < span.until)
}

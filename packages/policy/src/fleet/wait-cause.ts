/** Why a request waits for a slot. The names are sent between processes, and written to logs and metrics. */

/** Why a queued request has no slot yet. */
export const WaitCause = {
  /** All slots that it could use are taken, or are left free for online requests. */
  Full: 'full',
  /** Slots are free that only the rate limits of their targets bar. */
  Limited: 'limited',
  /** Slots are free only on targets that are suspended, for all holders or its own, or where it has just failed. */
  Suspended: 'suspended',
  /** No target of the service accepts work, or none of the software version that began its stream. */
  NoTarget: 'no-target',
  /** No target of the software version that began its stream can take it at present, while one of another version could. */
  VersionTaken: 'version-taken',
  /** Targets may crash under it or a part of its prompt, also while that is being found out; see {@link CrashQuarantine}. */
  HeldBack: 'held-back',
  /** Its holder probably reaches no target, and has used the slots that it gets meanwhile. */
  CutOff: 'cut-off',
  /** Batch: online work has just waited, or the owner does not know yet which slots its predecessor granted. */
  Yields: 'yields',
  /** The owner has not told: it has not answered, or its build does not tell. */
  Unknown: 'unknown'
} as const
export type WaitCause = typeof WaitCause[keyof typeof WaitCause]

/** Why a request waits, and until when. */
export interface SlotWait {
  readonly cause: WaitCause
  /** Milliseconds until the cause ends by itself, for example until the next trial of what is held back; 0 if that is not known. */
  readonly until: number
}

export const unknownWait: SlotWait = { cause: WaitCause.Unknown, until: 0 }

const causes: ReadonlySet<unknown> = new Set(Object.values(WaitCause))

/** Returns what another process told of a wait; unknown if it told nothing, or something that this build does not know. */
export function receivedWait (value: unknown): SlotWait {
  return isSlotWait(value) ? value : unknownWait
}

function isSlotWait (value: unknown): value is SlotWait {
  return typeof value === 'object' && value !== null && 'cause' in value && causes.has(value.cause) && 'until' in value && typeof value.until === 'number'
}

/** A process of the fleet, and what members tell each other of it. */

/** States of a member, which it sets itself. Only ready members, detached ones included, may own services and run batch jobs. */
export const MemberState = {
  Starting: 0,
  Ready: 1,
  Draining: 2,
  /** Ready, but cut off from targets. Earlier versions take it for not ready. */
  Detached: 3
} as const
export type MemberState = typeof MemberState[keyof typeof MemberState]

/** Whether a member in this state serves requests and has duties, whether it reaches targets itself or not. */
export function isReadyState (state: MemberState): boolean {
  return state === MemberState.Ready || state === MemberState.Detached
}

/** A process of the fleet. */
export interface Member {
  /** IPv4 address; all processes use the same ports. */
  readonly address: string
  readonly zone: string
  /** Tells apart successive processes at the same address; a later process has a greater value. */
  readonly incarnation: number
  /** Processor capacity in thousandths of a core. */
  readonly capacity: number
  readonly state: MemberState
}

/** What one member tells another of a third one, or of itself. */
export interface MemberUpdate extends Member {
  /** Incremented by the member itself whenever its state changes or it refutes a suspicion. */
  readonly version: number
  /** Whether some member got no response from it. */
  readonly suspected: boolean
}

/**
 * Whether an update is newer than what is known. A later process, or a later version of the same process, supersedes
 * everything else; at the same version, a suspicion supersedes none. So only the member itself can refute a suspicion.
 */
export function supersedes (update: MemberUpdate, known: MemberUpdate): boolean {
  if (update.incarnation !== known.incarnation) {
    return update.incarnation > known.incarnation
  }
  if (update.version !== known.version) {
    return update.version > known.version
  }
  return update.suspected && !known.suspected
}

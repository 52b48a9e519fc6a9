/** The identity of a process. */
import { createIdentifier } from '@arbutusloft/protocol'
import type { MemberKind } from '@arbutusloft/adapters'

/** One incarnation (one run) of a process on an instance. */
export interface Identity {
  /** Name on the instance list, such as `i1.entry`. */
  readonly member: string
  readonly role: MemberKind
  readonly zone: string
  /** Name of this incarnation as a writer to the log; a restarted process gets a new one. */
  readonly writer: string
}

/** Returns the name of an instance's process on the instance list. */
export function memberNameOf (instance: string, role: MemberKind): string {
  return `${instance}.${role}`
}

/** Creates the identity of a new incarnation. */
export function createIdentity (instance: string, role: MemberKind, zone: string): Identity {
  return { member: memberNameOf(instance, role), role, zone, writer: createIdentifier(role) }
}

/**
 * Whether a request with a key is served, by how old the configuration is that says whose key it is.
 *
 * The load: keys are added and revoked by new versions of the configuration, while an instance is cut off from the store, is stopped for seconds and
 * resumed, or all instances lose the store at once. A revoked key must not be served long after its end, a new key must not be called unknown,
 * and an outage of the store alone must not end service.
 */

/** What becomes of a request with a key. */
export const KeyVerdict = {
  Admit: 'admit',
  /** No account holds the key. */
  Unknown: 'unknown',
  /** The configuration has to be read first, and the request decided by the result. */
  Read: 'read',
  /** It cannot be told whether the key is valid at present. */
  Unconfirmed: 'unconfirmed'
} as const
export type KeyVerdict = typeof KeyVerdict[keyof typeof KeyVerdict]

/** What an instance knows of a key and of its configuration. */
export interface KeyEvidence {
  /** Whether an account of the configuration in force holds the key. */
  readonly isKnown: boolean
  /** Whether the newest configuration that was read could be decoded, so that it is in force. */
  readonly isReadable: boolean
  /** Whether all accounts of the configuration could be decoded. */
  readonly isComplete: boolean
  /** Milliseconds since the time at which the configuration in force was certainly the newest; `Infinity` if it never was. */
  readonly ageMilliseconds: number
  /** Whether a read of the configuration for this request, or shortly before it, has failed. */
  readonly hasReadFailed: boolean
  /** Whether the instance sees at least half of the instances that it knows; see {@link InstanceContact}. */
  readonly seesHalf: boolean
}

/** How revoked keys are handled. */
export interface RevocationRules {
  /** Milliseconds for which a configuration counts as the newest after it was confirmed to be. */
  readonly boundMilliseconds: number
  /** Whether no key is admitted by a configuration that could not be confirmed within the bound. */
  readonly isStrict: boolean
}

/** Decides on a request with a key. */
export function decideKey ({ isKnown, isReadable, isComplete, ageMilliseconds, hasReadFailed, seesHalf }: KeyEvidence, { boundMilliseconds, isStrict }: RevocationRules): KeyVerdict {
  if (!isReadable) {
    return KeyVerdict.Unconfirmed
  }
  if (ageMilliseconds <= boundMilliseconds) {
    if (isKnown) {
      return KeyVerdict.Admit
    }
    return isComplete ? KeyVerdict.Unknown : KeyVerdict.Unconfirmed
  }
  if (!hasReadFailed) {
    return KeyVerdict.Read
  }
  // If the store is lost to half of the instances, it is taken to be lost to all, and nobody can have been told that a key is revoked.
  return isKnown && !isStrict && seesHalf ? KeyVerdict.Admit : KeyVerdict.Unconfirmed
}

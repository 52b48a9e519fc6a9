/** What processes tell each other of the requests of accounts. The fields are sent between processes under these names. */

/** Requests of an account: those granted, by the age of their bucket, and those that wait for a slot. */
export interface AccountCharges {
  readonly account: string
  readonly waiting: number
  /** Pairs of a bucket, as its distance from the newest one into the past, and its count. A count replaces the former one. */
  readonly counts: ReadonlyArray<readonly [bucketsAgo: number, count: number]>
}

/** {@link AccountCharges} as a flat list, which takes less of a datagram: distances and counts alternate. */
export type AccountEntry = readonly [account: string, waiting: number, ...counts: readonly number[]]

/** A process that owns slots; a later one at its address has another incarnation, and perhaps another clock. */
export interface OwnerProcess {
  readonly address: string
  readonly incarnation: number
}

/** Returns the name of a process in reports. */
export function nameOfOwner ({ address, incarnation }: OwnerProcess): string {
  return `${address}/${incarnation.toString(36)}`
}

/** What an owner has charged, as far as it has changed lately. */
export interface ChargesReport {
  /** Incarnation of the sender. */
  readonly incarnation: number
  /** Time of the sender's clock, in milliseconds; its newest bucket holds it. */
  readonly at: number
  readonly entries: readonly AccountEntry[]
}

/** Requests of an account that an owner has granted a holder, as {@link AccountEntry}: the owner's index in {@link UsageReport.owners} takes the second place. */
export type UsageEntry = readonly [account: string, owner: number, ...counts: readonly number[]]

/** What a holder was granted in its last window by others than the receiver; a later report replaces an earlier one of the same account and owner. */
export interface UsageReport {
  /** Names of owners, as by {@link nameOfOwner}. */
  readonly owners: readonly string[]
  readonly entries: readonly UsageEntry[]
}

/** Bytes of a datagram that are left for entries, so that it fits into 1,200 bytes. */
export const maximumEntryBytes = 1_000
/** Upper bounds of the bytes that `msgpackr` takes for an entry without its name and for a number of it. */
const entryHeadBytes = 8
const numberBytes = 3

/** Returns the bytes that an entry takes at most. */
export function entryBytes ([account, , ...counts]: AccountEntry): number {
  return entryHeadBytes + Buffer.byteLength(account) + counts.length * numberBytes
}

export function toEntry ({ account, waiting, counts }: AccountCharges): AccountEntry {
  return [account, waiting, ...counts.flat()]
}

export function fromEntry ([account, waiting, ...numbers]: AccountEntry): AccountCharges {
  const counts = Array.from({ length: Math.floor(numbers.length / 2) }, (_, index) => [numbers[2 * index] ?? 0, numbers[2 * index + 1] ?? 0] as const)
  return { account, waiting, counts }
}

/** Divides entries into parts that fit into a datagram each; returns at least one part. */
export function splitToDatagrams (entries: readonly AccountEntry[]): ReadonlyArray<readonly AccountEntry[]> {
  const parts: AccountEntry[][] = [[]]
  let free = maximumEntryBytes
  for (const entry of entries) {
    const size = entryBytes(entry)
    if (size > free && (parts.at(-1)?.length ?? 0) > 0) {
      parts.push([])
      free = maximumEntryBytes
    }
    parts.at(-1)?.push(entry)
    free -= size
  }
  return parts
}

/** Whether a received value names the process and the clock of an owner. */
export function isOwnerTime (value: object): value is Pick<ChargesReport, 'incarnation' | 'at'> {
  const { incarnation, at } = value as Partial<Record<keyof ChargesReport, unknown>>
  return isCount(incarnation) && isCount(at)
}

/** Whether a received value is a report of a holder. */
export function isUsageReport (value: unknown): value is UsageReport {
  if (typeof value !== 'object' || value === null) {
    return false
  }
  const { owners } = value as Partial<Record<keyof UsageReport, unknown>>
  return hasEntries(value) && Array.isArray(owners) && owners.every(owner => typeof owner === 'string')
}

/** Whether a received value is a report of an owner. */
export function isChargesReport (value: unknown): value is ChargesReport {
  return typeof value === 'object' && value !== null && hasEntries(value) && isOwnerTime(value)
}

function hasEntries (value: object): boolean {
  const { entries } = value as Partial<Record<'entries', unknown>>
  return Array.isArray(entries) && entries.every(isEntry)
}

function isEntry (value: unknown): value is AccountEntry {
  return Array.isArray(value) && typeof value[0] === 'string' && value[0] !== '' && value.length % 2 === 0 && value.slice(1).every(isCount)
}

function isCount (value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0
}

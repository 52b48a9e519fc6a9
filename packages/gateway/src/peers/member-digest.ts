/** Encodes member updates as plain numbers, so that several dozen of them fit into one datagram. */
import { MemberState } from './member.js'
import type { MemberUpdate } from './member.js'

/** Encoded member updates; the first one describes the sender. */
export interface MemberDigest {
  /** Names of availability zones; updates refer to them by index. */
  readonly zones: readonly string[]
  /** Incarnation of the sender, in milliseconds since the epoch; updates hold the difference from it. */
  readonly incarnation: number
  /** Six numbers per update: IPv4 address as an integer, zone index, incarnation difference, capacity, version, state and suspicion. */
  readonly numbers: readonly number[]
}

/** Updates that fit into one datagram: each takes up to 18 bytes, and one packet carries 1,472. */
export const maximumUpdatesPerDatagram = 76

const numbersPerUpdate = 6
const valuesPerByte = 256
/** Added to the state of a suspected member. */
const suspectedFlag = 4

const maximumAddress = 0xffff_ffff
const latestIncarnation = Date.UTC(2100, 0)
/** Capacity in thousandths of a core. */
const maximumCapacity = 100_000_000
const maximumStatus = suspectedFlag + MemberState.Detached

/** Encodes updates; the first one must be the sender's. */
export function packMembers (updates: readonly MemberUpdate[]): MemberDigest {
  const zones: string[] = []
  const numbers: number[] = []
  const baseIncarnation = updates[0]?.incarnation ?? 0
  for (const { address, zone, incarnation, capacity, version, state, suspected } of updates) {
    if (!zones.includes(zone)) {
      zones.push(zone)
    }
    numbers.push(addressToNumber(address), zones.indexOf(zone), incarnation - baseIncarnation, capacity, version, state + (suspected ? suspectedFlag : 0))
  }
  return { zones, incarnation: baseIncarnation, numbers }
}

/** Decodes the updates of a digest; ignores an incomplete one at the end. */
export function unpackMembers ({ zones, incarnation, numbers }: MemberDigest): readonly MemberUpdate[] {
  const updates: MemberUpdate[] = []
  for (let start = 0; start + numbersPerUpdate <= numbers.length; start += numbersPerUpdate) {
    const [address = 0, zone = 0, incarnationDifference = 0, capacity = 0, version = 0, status = 0] = numbers.slice(start, start + numbersPerUpdate)
    updates.push({
      address: numberToAddress(address),
      zone: zones[zone] ?? '',
      incarnation: incarnation + incarnationDifference,
      capacity,
      version,
      state: (status % suspectedFlag) as MemberState,
      suspected: status >= suspectedFlag
    })
  }
  return updates
}

/** Checks that a decoded value is a well-formed {@link MemberDigest}. */
export function isMemberDigest (value: unknown): value is MemberDigest {
  return typeof value === 'object' && value !== null &&
    'zones' in value && Array.isArray(value.zones) && value.zones.every(zone => typeof zone === 'string') &&
    'incarnation' in value && isWhole(value.incarnation, latestIncarnation) &&
    'numbers' in value && Array.isArray(value.numbers) && value.numbers.length % numbersPerUpdate === 0 &&
    areInRange(value.numbers, value.zones.length, value.incarnation)
}

/** Whether each number can be what it stands for; another capacity or incarnation would decide on the owners of all services. */
function areInRange (numbers: readonly unknown[], zones: number, baseIncarnation: number): boolean {
  for (let start = 0; start < numbers.length; start += numbersPerUpdate) {
    const [address, zone, incarnationDifference, capacity, version, status] = numbers.slice(start, start + numbersPerUpdate)
    const isInRange = isWhole(address, maximumAddress) && isWhole(zone, zones - 1) && isWhole(Number(incarnationDifference) + baseIncarnation, latestIncarnation) &&
      isWhole(capacity, maximumCapacity) && isWhole(version, Number.MAX_SAFE_INTEGER) && isWhole(status, maximumStatus)
    if (!isInRange) {
      return false
    }
  }
  return true
}

function isWhole (value: unknown, maximum: number): value is number {
  return Number.isSafeInteger(value) && Number(value) >= 0 && Number(value) <= maximum
}

function addressToNumber (address: string): number {
  const [first, second, third, fourth] = address.split('.')
  return ((Number(first) * valuesPerByte + Number(second)) * valuesPerByte + Number(third)) * valuesPerByte + Number(fourth)
}

function numberToAddress (number: number): string {
  return `${number >>> 24}.${(number >>> 16) % valuesPerByte}.${(number >>> 8) % valuesPerByte}.${number % valuesPerByte}`
}

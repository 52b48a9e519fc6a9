/** Encodes member rows as plain numbers, so that several dozen members fit into one datagram. */
import type { MemberRow, MemberState } from './peer-messages.js'

/** Encoded member rows; the first one describes the sender. */
export interface MemberDigest {
  /** Names of availability zones; rows refer to them by index. */
  readonly zones: readonly string[]
  /** Incarnation of the sender, in milliseconds since the epoch; rows hold the difference from it. */
  readonly incarnation: number
  /** Six numbers per member: IPv4 address as an integer, zone index, incarnation difference, capacity, heartbeat count, state. */
  readonly numbers: readonly number[]
}

const numbersPerRow = 6
const bytesPerAddress = 4
const bitsPerByte = 8
const valuesPerByte = 256

/** Encodes member rows; the first row must be the sender's. */
export function packMembers (rows: readonly MemberRow[]): MemberDigest {
  const zones = [...new Set(rows.map(([, zone]) => zone))]
  const baseIncarnation = rows[0]?.[2] ?? 0
  const numbers = rows.flatMap(([address, zone, incarnation, capacity, heartbeat, state]) => {
    return [addressToNumber(address), zones.indexOf(zone), incarnation - baseIncarnation, capacity, heartbeat, state]
  })
  return { zones, incarnation: baseIncarnation, numbers }
}

/** Decodes the member rows of a digest; ignores an incomplete row at the end. */
export function unpackMembers ({ zones, incarnation, numbers }: MemberDigest): readonly MemberRow[] {
  const rows: MemberRow[] = []
  for (let start = 0; start + numbersPerRow <= numbers.length; start += numbersPerRow) {
    const [address = 0, zone = 0, incarnationDifference = 0, capacity = 0, heartbeat = 0, state = 0] = numbers.slice(start, start + numbersPerRow)
    rows.push([numberToAddress(address), zones[zone] ?? '', incarnation + incarnationDifference, capacity, heartbeat, state as MemberState])
  }
  return rows
}

/** Checks that a decoded value is a well-formed {@link MemberDigest}. */
export function isMemberDigest (value: unknown): value is MemberDigest {
  return typeof value === 'object' && value !== null &&
    'zones' in value && Array.isArray(value.zones) && value.zones.every(zone => typeof zone === 'string') &&
    'incarnation' in value && typeof value.incarnation === 'number' &&
    'numbers' in value && Array.isArray(value.numbers) && value.numbers.length % numbersPerRow === 0 &&
    value.numbers.every(number => typeof number === 'number')
}

function addressToNumber (address: string): number {
  return address.split('.').reduce((sum, part) => sum * valuesPerByte + Number(part), 0)
}

function numberToAddress (number: number): string {
  return Array.from({ length: bytesPerAddress }, (_, index) => {
    return (number >>> ((bytesPerAddress - 1 - index) * bitsPerByte)) % valuesPerByte
  }).join('.')
}

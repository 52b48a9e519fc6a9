/** Splitting of snapshots into parts that fit one entry of the log, and reassembly. */
import { createHash } from 'node:crypto'
import tsResults from 'ts-results'
import type { Result } from 'ts-results'
import { decode, encode, isPlainObject } from '@arbutusloft/protocol'

const { Ok, Err } = tsResults

/** One part of a snapshot, as appended to the snapshot stream. */
export interface SnapshotPart {
  /** Identifier of the snapshot, the same in all of its parts. */
  readonly snapshot: string
  /** Index of the part, from 0. */
  readonly part: number
  /** Number of parts in the snapshot. */
  readonly parts: number
  /** Offset of the entry that follows those folded into the snapshot. The name is part of the stored format. */
  readonly through: number
  readonly data: Uint8Array
}

/** A whole snapshot. */
export interface Snapshot {
  /** Offset of the entry that follows those folded into the snapshot. */
  readonly through: number
  readonly data: Uint8Array
}

/** The error of bytes that do not decode to a snapshot part. */
export class SnapshotError extends Error {
  override readonly name = 'SnapshotError'
}

/**
 * Splits a snapshot into encoded parts.
 *
 * @param maximumPartBytes maximum bytes of the snapshot's data in one part; the encoding adds its fields to them
 */
export function splitSnapshot (snapshot: Snapshot, maximumPartBytes: number): readonly Uint8Array[] {
  const identifier = createHash('sha256').update(snapshot.data).digest('hex')
  const parts = Math.max(1, Math.ceil(snapshot.data.byteLength / maximumPartBytes))
  return Array.from({ length: parts }, (_, part) => {
    const data = snapshot.data.subarray(part * maximumPartBytes, (part + 1) * maximumPartBytes)
    const value: SnapshotPart = { snapshot: identifier, part, parts, through: snapshot.through, data }
    return encode(value)
  })
}

/** Decodes one part; fails with a {@link SnapshotError} if the bytes are not a snapshot part. */
export function decodeSnapshotPart (bytes: Uint8Array): Result<SnapshotPart, SnapshotError> {
  const decoded = decode(bytes)
  if (decoded.err || !isSnapshotPart(decoded.val)) {
    return Err(new SnapshotError(`expected an encoded snapshot part, received ${bytes.byteLength} bytes of other data`))
  }
  return Ok(decoded.val)
}

/** Reassembles snapshots from parts in any order; parts of several snapshots may be interleaved. */
export class SnapshotAssembler {
  readonly #parts = new Map<string, Map<number, SnapshotPart>>()
  #latest: Snapshot | null = null

  /** Adds a part. */
  add (part: SnapshotPart): void {
    const received = this.#parts.get(part.snapshot) ?? new Map<number, SnapshotPart>()
    this.#parts.set(part.snapshot, received)
    received.set(part.part, part)
    if (received.size === part.parts) {
      this.#assemble(received)
      this.#parts.delete(part.snapshot)
    }
  }

  /** The complete snapshot with the highest offset, or null if no snapshot is complete. */
  get latest (): Snapshot | null {
    return this.#latest
  }

  #assemble (parts: ReadonlyMap<number, SnapshotPart>): void {
    const ordered = [...parts.values()].sort((left, right) => left.part - right.part)
    const through = ordered[0]?.through ?? 0
    if (this.#latest === null || through >= this.#latest.through) {
      this.#latest = { through, data: Buffer.concat(ordered.map(part => part.data)) }
    }
  }
}

function isSnapshotPart (value: unknown): value is SnapshotPart {
  return isPlainObject(value) &&
    typeof value['snapshot'] === 'string' &&
    typeof value['part'] === 'number' &&
    typeof value['parts'] === 'number' &&
    typeof value['through'] === 'number' &&
    value['data'] instanceof Uint8Array
}

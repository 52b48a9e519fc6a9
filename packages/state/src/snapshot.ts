/** Division of snapshots into parts that fit the log's record limit. */
import { createHash } from 'node:crypto'
import tsResults from 'ts-results'
import type { Result } from 'ts-results'
import { decode, encode, isPlainObject } from '@arbutusloft/protocol'

const { Ok, Err } = tsResults

/** One part of a snapshot, as appended to the snapshot stream. */
export interface SnapshotPart {
  /** Identifier of the snapshot, the same in all parts. */
  readonly snapshot: string
  readonly part: number
  readonly parts: number
  /** Offset of the entry that follows those folded into the snapshot. */
  readonly through: number
  readonly data: Uint8Array
}

/** A whole snapshot. */
export interface Snapshot {
  readonly through: number
  readonly data: Uint8Array
}

/** Bytes that are not a part of a snapshot. */
export class SnapshotError extends Error {
  override readonly name = 'SnapshotError'
}

/** Cuts a snapshot into encoded parts of at most the given data size each. */
export function splitSnapshot (snapshot: Snapshot, partBytes: number): readonly Uint8Array[] {
  const identifier = createHash('sha256').update(snapshot.data).digest('hex')
  const parts = Math.max(1, Math.ceil(snapshot.data.byteLength / partBytes))
  return Array.from({ length: parts }, (_, part) => {
    const data = snapshot.data.subarray(part * partBytes, (part + 1) * partBytes)
    const value: SnapshotPart = { snapshot: identifier, part, parts, through: snapshot.through, data }
    return encode(value)
  })
}

/** Decodes one part. */
export function decodeSnapshotPart (bytes: Uint8Array): Result<SnapshotPart, SnapshotError> {
  const decoded = decode(bytes)
  if (decoded.err || !isSnapshotPart(decoded.val)) {
    return Err(new SnapshotError('not a snapshot part'))
  }
  return Ok(decoded.val)
}

/** Puts parts together as they are read; parts of several snapshots may be mixed. */
export class SnapshotAssembler {
  readonly #parts = new Map<string, Map<number, SnapshotPart>>()
  #latest: Snapshot | null = null

  /** Takes a part. */
  add (part: SnapshotPart): void {
    const known = this.#parts.get(part.snapshot) ?? new Map<number, SnapshotPart>()
    this.#parts.set(part.snapshot, known)
    known.set(part.part, part)
    if (known.size === part.parts) {
      this.#complete(known)
      this.#parts.delete(part.snapshot)
    }
  }

  /** The complete snapshot that reaches furthest, or null. */
  get latest (): Snapshot | null {
    return this.#latest
  }

  #complete (parts: ReadonlyMap<number, SnapshotPart>): void {
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

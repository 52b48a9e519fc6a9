/**
 * Parses one HTTP/1.1 response strictly: https://www.rfc-editor.org/rfc/rfc9112. Targets that are at fault break off or
 * garble responses, and a response that only looks complete must not pass for one. So whatever leaves its length in doubt is malformed.
 */
import { GrowingBuffer } from '../util/growing-buffer.js'

/** Status and headers of a response. */
export interface ResponseHead {
  readonly status: number
  /** Names and values alternating, as the target sent them. */
  readonly rawHeaders: readonly string[]
  /** By name in lower case; of a repeated header the first value. */
  readonly headers: Readonly<Record<string, string | undefined>>
}

/** Receives the parts of a response. */
export interface ResponseListener {
  /**
   * Called with each final head; informational responses are skipped. Returns whether the response answers the request. Another one
   * is parsed to its end, and the next head follows.
   */
  onHead: (head: ResponseHead) => boolean
  /** Called with parts of the body, without chunk framing; the bytes are valid only during the call. */
  onData: (bytes: Buffer) => void
  /** Called at the end of a response that does not answer the request. */
  onSkipped: () => void
}

/** A response does not follow the protocol. */
export class MalformedResponseError extends Error {
  override readonly name = 'MalformedResponseError'
}

const ParserState = {
  Head: 'head',
  SizedBody: 'sized-body',
  /** A body that ends with the connection. */
  OpenBody: 'open-body',
  ChunkSize: 'chunk-size',
  ChunkData: 'chunk-data',
  ChunkEnd: 'chunk-end',
  Trailers: 'trailers',
  Complete: 'complete'
} as const
type ParserState = typeof ParserState[keyof typeof ParserState]

/** Maximum length of the heads before and of a response, informational ones and those of skipped responses included, and of the trailers together. */
const maximumHeadBytes = 32_768
/** Maximum length of a line between the parts of a chunked body. */
const maximumLineBytes = 256
/** Maximum length of the chunk extensions of a response together; Node.js has the same limit. */
const maximumExtensionBytes = 16_384
const headEnd = Buffer.from('\r\n\r\n')
const lineEnd = Buffer.from('\r\n')
const statusLine = /^HTTP\/1\.([01]) ([1-5][0-9]{2})(?: [\t\x20-\x7e\x80-\xff]*)?$/
const headerLine = /^([!#$%&'*+.^_`|~0-9A-Za-z-]+):[\t ]*([\t\x20-\x7e\x80-\xff]*)$/
const chunkSizeLine = /^([0-9A-Fa-f]{1,8})[\t ]*(?:;[\t\x20-\x7e\x80-\xff]*)?$/
const decimalDigits = /^[0-9]{1,15}$/
const hexadecimal = 16
/** Maximum number of digits of a chunk's size. */
const maximumSizeDigits = 8
const carriageReturn = 0x0d
const lineFeed = 0x0a
const firstFinalStatus = 200
const noContentStatus = 204
const notModifiedStatus = 304

/** Parses the bytes of the response to one request as they arrive, and of responses to other requests before it. */
export class ResponseParser {
  #state: ParserState = ParserState.Head
  /** Bytes of a head or line whose rest has not arrived. */
  readonly #pending = new GrowingBuffer(maximumHeadBytes)
  /** Bytes that the body or the current chunk still lacks. */
  #remaining = 0
  /** Bytes that the heads and trailers may still have. */
  #remainingHeadBytes = maximumHeadBytes
  /** Bytes that the chunk extensions may still have. */
  #remainingExtensionBytes = maximumExtensionBytes
  #isPersistent = false
  /** Whether the current response answers another request. */
  #isSkipping = false
  #hasSkipped = false

  /**
   * @param hasBody false for the response to a HEAD request, whose length or chunks describe a body that is not sent
   * @param canSkip whether the framing of a response to another request is certain: none of them was a HEAD request
   */
  constructor (private readonly listener: ResponseListener, private readonly hasBody = true, private readonly canSkip = hasBody) {}

  get isComplete (): boolean {
    return this.#state === ParserState.Complete
  }

  /** Whether the connection can be used again: the target lets it, according to the head, and has sent nothing but the response. */
  get isPersistent (): boolean {
    return this.#isPersistent && !this.#hasSkipped
  }

  /**
   * Parses bytes; throws a {@link MalformedResponseError}. Returns false if bytes follow the end of the response, which
   * belong to no request.
   */
  push (bytes: Buffer): boolean {
    let position = 0
    while (position < bytes.length && this.#state !== ParserState.Complete) {
      position = this.#parse(bytes, position)
      if (this.isComplete && this.#isSkipping) {
        this.#startNextHead()
      }
    }
    return position === bytes.length
  }

  #startNextHead (): void {
    this.#isSkipping = false
    this.#state = ParserState.Head
    this.listener.onSkipped()
  }

  /** Handles the orderly end of the connection; returns whether the response may be complete, since it has neither a length nor chunks. */
  end (): boolean {
    if (this.#state === ParserState.OpenBody) {
      this.#state = ParserState.Complete
    }
    return this.isComplete
  }

  /** Parses the part that begins at a position, and returns the position after it. */
  #parse (bytes: Buffer, start: number): number {
    switch (this.#state) {
      case ParserState.Head:
        return this.#parseHeadPart(headEnd, bytes, start)
      case ParserState.ChunkSize:
        return this.#parseChunkSize(bytes, start)
      case ParserState.ChunkEnd:
        return this.#parseChunkEnd(bytes, start)
      case ParserState.Trailers:
        return this.#parseHeadPart(lineEnd, bytes, start)
      case ParserState.SizedBody:
        return this.#parseData(bytes, start, ParserState.Complete)
      case ParserState.ChunkData:
        return this.#parseData(bytes, start, ParserState.ChunkEnd)
      case ParserState.OpenBody:
        this.listener.onData(start === 0 ? bytes : bytes.subarray(start))
        return bytes.length
      case ParserState.Complete:
        return start
    }
  }

  /** Parses a head or a trailer, whose length is limited together with that of those before it. */
  #parseHeadPart (delimiter: Buffer, bytes: Buffer, start: number): number {
    const isTrailer = this.#state === ParserState.Trailers
    return this.#parseUntil(delimiter, bytes, start, this.#remainingHeadBytes, text => {
      this.#remainingHeadBytes = Math.max(0, this.#remainingHeadBytes - text.length - delimiter.length)
      if (isTrailer) {
        this.#onTrailer(text)
      } else {
        this.#onHeadText(text)
      }
    })
  }

  #parseChunkSize (bytes: Buffer, start: number): number {
    if (this.#pending.length === 0) {
      // A stream has a chunk for each event, nearly always with a plain size that arrives at once: it needs no string.
      let size = 0
      let position = start
      for (let digit = hexadecimalValue(bytes[position]); digit >= 0 && position - start < maximumSizeDigits; digit = hexadecimalValue(bytes[position])) {
        size = size * hexadecimal + digit
        position += 1
      }
      if (position > start && isLineEnd(bytes, position)) {
        this.#startChunk(size)
        return position + lineEnd.length
      }
    }
    return this.#parseUntil(lineEnd, bytes, start, maximumLineBytes, text => { this.#onChunkSize(text) })
  }

  #parseChunkEnd (bytes: Buffer, start: number): number {
    if (this.#pending.length === 0 && isLineEnd(bytes, start)) {
      this.#state = ParserState.ChunkSize
      return start + lineEnd.length
    }
    return this.#parseUntil(lineEnd, bytes, start, maximumLineBytes, text => {
      if (text !== '') {
        throw new MalformedResponseError(`a chunk is followed by ${JSON.stringify(text)} instead of a line end`)
      }
      this.#state = ParserState.ChunkSize
    })
  }

  /** Collects bytes until the delimiter, and passes the text before it on. */
  #parseUntil (delimiter: Buffer, bytes: Buffer, start: number, maximumBytes: number, onText: (text: string) => void): number {
    const part = bytes.subarray(start)
    const pendingBytes = this.#pending.length
    if (pendingBytes > 0) {
      this.#pending.append(part)
    }
    const data = pendingBytes > 0 ? this.#pending.bytes : part
    const end = data.indexOf(delimiter, Math.max(0, pendingBytes - delimiter.length + 1))
    if ((end < 0 ? data.length : end) > maximumBytes) {
      throw new MalformedResponseError(`no ${JSON.stringify(delimiter.toString())} within the ${maximumBytes} bytes that a response's ${this.#state} may have`)
    }
    if (end < 0) {
      if (pendingBytes === 0) {
        this.#pending.append(part)
      }
      return bytes.length
    }
    this.#pending.clear()
    onText(data.toString('latin1', 0, end))
    return start + end + delimiter.length - pendingBytes
  }

  #parseData (bytes: Buffer, start: number, nextState: ParserState): number {
    const end = Math.min(start + this.#remaining, bytes.length)
    this.#remaining -= end - start
    if (this.#remaining === 0) {
      this.#state = nextState
    }
    this.listener.onData(bytes.subarray(start, end))
    return end
  }

  #onHeadText (text: string): void {
    const [firstLine = '', ...lines] = text.split('\r\n')
    const match = statusLine.exec(firstLine)
    if (match === null) {
      throw new MalformedResponseError(`a response begins with ${JSON.stringify(firstLine.slice(0, maximumLineBytes))} instead of a status line`)
    }
    const head = parseHead(Number(match[2]), lines)
    if (head.status < firstFinalStatus) {
      return
    }
    this.#state = this.#bodyStateOf(head)
    const connection = head.headers.connection?.toLowerCase() ?? ''
    this.#isPersistent = match[1] === '1' && !connection.split(',').some(option => option.trim() === 'close') && this.#state !== ParserState.OpenBody
    if (!this.listener.onHead(head)) {
      if (!this.canSkip || this.#state === ParserState.OpenBody) {
        throw new MalformedResponseError(`a response to another request with status ${head.status} has no certain end`)
      }
      this.#isSkipping = true
      this.#hasSkipped = true
    }
  }

  /** Returns how the body is delimited: https://www.rfc-editor.org/rfc/rfc9112#section-6.3 */
  #bodyStateOf ({ status, headers }: ResponseHead): ParserState {
    const encoding = headers['transfer-encoding']
    const length = headers['content-length']
    if (!this.hasBody || status === noContentStatus || status === notModifiedStatus) {
      return ParserState.Complete
    }
    if (encoding !== undefined) {
      if (encoding.toLowerCase() !== 'chunked' || length !== undefined) {
        throw new MalformedResponseError(`transfer-encoding ${encoding} with content-length ${length}, expected chunked alone`)
      }
      return ParserState.ChunkSize
    }
    if (length === undefined) {
      return ParserState.OpenBody
    }
    if (!decimalDigits.test(length)) {
      throw new MalformedResponseError(`content-length is ${JSON.stringify(length)}, expected digits`)
    }
    this.#remaining = Number(length)
    return this.#remaining === 0 ? ParserState.Complete : ParserState.SizedBody
  }

  #onChunkSize (text: string): void {
    const match = chunkSizeLine.exec(text)
    if (match === null) {
      throw new MalformedResponseError(`a chunk's size is ${JSON.stringify(text)}, expected hexadecimal digits`)
    }
    const [, size = ''] = match
    this.#remainingExtensionBytes -= text.length - size.length
    if (this.#remainingExtensionBytes < 0) {
      throw new MalformedResponseError(`the chunk extensions of a response have more than ${maximumExtensionBytes} bytes`)
    }
    this.#startChunk(Number.parseInt(size, hexadecimal))
  }

  #startChunk (size: number): void {
    this.#remaining = size
    this.#state = this.#remaining === 0 ? ParserState.Trailers : ParserState.ChunkData
  }

  #onTrailer (text: string): void {
    if (text === '') {
      this.#state = ParserState.Complete
    } else if (!headerLine.test(text)) {
      throw new MalformedResponseError(`a trailer is ${JSON.stringify(text)}, expected a name and a value`)
    }
  }
}

/** Whether the body of a response has neither a length nor chunks and so ends with its connection. */
export function endsWithConnection ({ status, headers }: ResponseHead): boolean {
  return status !== noContentStatus && status !== notModifiedStatus && headers['transfer-encoding'] === undefined && headers['content-length'] === undefined
}

/** Returns the value of a hexadecimal digit, or -1 if the byte is none or missing. */
function hexadecimalValue (byte: number | undefined): number {
  if (byte === undefined) {
    return -1
  }
  if (byte >= 0x30 && byte <= 0x39) {
    return byte - 0x30
  }
  const lowerCase = byte | 0x20
  return lowerCase >= 0x61 && lowerCase <= 0x66 ? lowerCase - 0x61 + 10 : -1
}

function isLineEnd (bytes: Buffer, position: number): boolean {
  return bytes[position] === carriageReturn && bytes[position + 1] === lineFeed
}

function parseHead (status: number, lines: readonly string[]): ResponseHead {
  const rawHeaders: string[] = []
  const headers: Record<string, string | undefined> = {}
  for (const line of lines) {
    const match = headerLine.exec(line)
    if (match === null) {
      throw new MalformedResponseError(`a header is ${JSON.stringify(line)}, expected a name and a value`)
    }
    const name = match[1] ?? ''
    const value = (match[2] ?? '').trimEnd()
    const key = name.toLowerCase()
    if (headers[key] !== undefined && headers[key] !== value && (key === 'content-length' || key === 'transfer-encoding')) {
      throw new MalformedResponseError(`${key} is both ${headers[key]} and ${value}`)
    }
    rawHeaders.push(name, value)
    headers[key] ??= value
  }
  return { status, rawHeaders, headers }
}

/** Structured logging as JSON lines, limited in lines per second so that it never slows the process down. */
import { createConsola } from 'consola'
import type { ConsolaInstance, LogObject } from 'consola'

export type Logger = ConsolaInstance

/** Options of {@link createBoundedLogger}. */
export interface BoundedLoggerOptions {
  /** Fields that are added to every line. */
  readonly fields: Readonly<Record<string, string>>
  /** Writes a line, including its line feed. */
  readonly write: (line: string) => boolean
  /** Lines per second above which lines are omitted and counted. */
  readonly linesPerSecond: number
}

const informationLevel = 3

/** Creates a logger that omits lines above the limit; the next line written tells in `omittedLines` how many were omitted. */
export function createBoundedLogger (options: BoundedLoggerOptions): Logger {
  const budget = new LineBudget(options.linesPerSecond)
  return createConsola({
    level: informationLevel,
    reporters: [{
      log: entry => {
        const omitted = budget.take()
        if (omitted !== null) {
          options.write(lineOf(entry, options.fields, omitted))
        }
      }
    }]
  })
}

/** Counts the lines of the current second, and those omitted since the last line was written. */
export class LineBudget {
  #second = 0
  #lines = 0
  #omitted = 0

  constructor (private readonly linesPerSecond: number) {}

  /** Requests to write a line; returns the number of lines omitted since the last written one, or null if this line must be omitted. */
  take (): number | null {
    const second = Math.floor(Date.now() / 1_000)
    if (second !== this.#second) {
      this.#second = second
      this.#lines = 0
    }
    this.#lines += 1
    if (this.#lines > this.linesPerSecond) {
      this.#omitted += 1
      return null
    }
    const omitted = this.#omitted
    this.#omitted = 0
    return omitted
  }
}

function lineOf (entry: LogObject, fields: Readonly<Record<string, string>>, omitted: number): string {
  const [message, details] = entry.args as readonly unknown[]
  const line = {
    time: entry.date.toISOString(),
    level: entry.type,
    ...fields,
    message: String(message),
    ...(typeof details === 'object' ? details : {}),
    ...(omitted > 0 ? { omittedLines: omitted } : {})
  }
  return JSON.stringify(line) + '\n'
}

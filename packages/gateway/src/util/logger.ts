/** Structured logs: one JSON line for each event, bounded in number, never blocking. */
import { createConsola } from 'consola'
import type { ConsolaInstance, LogObject } from 'consola'

export type Logger = ConsolaInstance

/** Options of {@link createBoundedLogger}. */
export interface BoundedLoggerOptions {
  /** Fields that every line bears. */
  readonly fields: Readonly<Record<string, string>>
  /** Receives each line. */
  readonly write: (line: string) => boolean
  /** Lines a second beyond which lines are left out and counted. */
  readonly linesPerSecond: number
}

const informationLevel = 3

/** A logger that leaves lines out, and says how many, rather than slow the process down. */
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

/** Counts the lines of the current second and those that were left out. */
class LineBudget {
  #second = 0
  #lines = 0
  #omitted = 0

  constructor (private readonly linesPerSecond: number) {}

  /** Number of lines left out since the last one that was written, or null if this one is to be left out. */
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

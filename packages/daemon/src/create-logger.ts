/** Structured logging as JSON lines. */
import { createConsola } from 'consola'
import type { ConsolaInstance, LogObject } from 'consola'

export type Logger = ConsolaInstance

/** Options of {@link createLogger}. */
export interface LoggerOptions {
  /** Fields added to every line. */
  readonly fields: Readonly<Record<string, string>>
  /** Writes a line; writes to standard error by default. */
  readonly write?: (line: string) => void
  /** Highest level of consola that is logged, from 0 (errors) to 4 (debug); 3 (information) by default. */
  readonly level?: number
}

const informationLevel = 3

/** Creates a logger. The first argument of a log call is the message, the optional second one an object of fields. */
export function createLogger (options: LoggerOptions): Logger {
  const write = options.write ?? (line => process.stderr.write(line))
  return createConsola({
    level: options.level ?? informationLevel,
    reporters: [{ log: entry => { write(formatLine(entry, options.fields)) } }]
  })
}

function formatLine (entry: LogObject, fields: Readonly<Record<string, string>>): string {
  const [message, details] = entry.args as readonly unknown[]
  const line = {
    time: entry.date.toISOString(),
    level: entry.type,
    ...fields,
    message: String(message),
    ...(typeof details === 'object' ? details : {})
  }
  return JSON.stringify(line, replaceError) + '\n'
}

function replaceError (_key: string, value: unknown): unknown {
  return value instanceof Error ? value.message : value
}

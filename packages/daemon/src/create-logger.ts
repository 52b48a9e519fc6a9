/** Structured logs as JSON lines. */
import { createConsola } from 'consola'
import type { ConsolaInstance, LogObject } from 'consola'

export type Logger = ConsolaInstance

/** Options of {@link createLogger}. */
export interface LoggerOptions {
  /** Fields that every line bears. */
  readonly fields: Readonly<Record<string, string>>
  /** Receives each line; standard error by default. */
  readonly write?: (line: string) => void
  /** consola's level number, from 0 (errors) to 4 (debug). */
  readonly level?: number
}

const informationLevel = 3

/** Creates a logger. A call's first argument is the message, its second an object of fields. */
export function createLogger (options: LoggerOptions): Logger {
  const write = options.write ?? (line => process.stderr.write(line))
  return createConsola({
    level: options.level ?? informationLevel,
    reporters: [{ log: entry => { write(lineOf(entry, options.fields)) } }]
  })
}

function lineOf (entry: LogObject, fields: Readonly<Record<string, string>>): string {
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

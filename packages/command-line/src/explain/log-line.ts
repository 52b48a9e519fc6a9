/** Lines of the instances' logs. */

/** One line; `fields` are those that belong to its message. */
export interface LogLine {
  readonly time: string
  readonly instance: string
  readonly message: string
  readonly fields: Readonly<Record<string, unknown>>
}

/** Parses a line of a log; text before the JSON object is ignored. Returns null if the line holds none. */
export function parseLogLine (text: string): LogLine | null {
  const start = text.indexOf('{"time"')
  if (start < 0) {
    return null
  }
  try {
    const { time, instance, message, level: _, ...fields } = JSON.parse(text.slice(start)) as Record<string, unknown>
    return { time: String(time), instance: String(instance ?? ''), message: String(message), fields }
  } catch {
    // A process that is killed may leave half of a line.
    return null
  }
}

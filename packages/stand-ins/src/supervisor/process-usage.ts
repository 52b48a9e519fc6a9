/** Processor time and memory of a process, as Linux accounts for them. */
import { readFile } from 'node:fs/promises'

/** Resource usage of a process. */
export interface ProcessUsage {
  /** Processor time since the start of the process, user and system, in milliseconds. */
  readonly processorMilliseconds: number
  /** Resident memory in bytes. */
  readonly residentBytes: number
  /** Number of times that its main thread has waited and been woken since the start of the process. */
  readonly wakeups: number
}

// The kernel reports processor time at 100 ticks per second (USER_HZ).
const millisecondsPerTick = 10
// Assumes the usual page size of x86-64.
const bytesPerPage = 4_096
// Indexes of the fields after the command name, from 0.
const userTicksField = 11
const systemTicksField = 12
const residentPagesField = 21

/** Reads `/proc/PID/stat` and `/proc/PID/status`: https://man7.org/linux/man-pages/man5/proc_pid_stat.5.html */
export async function readProcessUsage (pid: number): Promise<ProcessUsage> {
  const stat = await readFile(`/proc/${pid}/stat`, 'utf8')
  // The command name is in parentheses and may contain spaces, so fields are counted from after the closing parenthesis.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
  const field = (index: number): number => Number(fields[index] ?? 0)
  const status = await readFile(`/proc/${pid}/status`, 'utf8')
  return {
    processorMilliseconds: (field(userTicksField) + field(systemTicksField)) * millisecondsPerTick,
    residentBytes: field(residentPagesField) * bytesPerPage,
    wakeups: Number(/^voluntary_ctxt_switches:\s*(\d+)/m.exec(status)?.[1] ?? 0)
  }
}

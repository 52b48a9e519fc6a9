/** Use of processor and memory by a process, as Linux accounts for it. */
import { readFile } from 'node:fs/promises'

/** A process's use so far. */
export interface ProcessUsage {
  /** Milliseconds of processor time, user and system. */
  readonly processorMilliseconds: number
  /** Resident bytes. */
  readonly residentBytes: number
}

const millisecondsPerTick = 10
const bytesPerPage = 4_096
const userTicksField = 11
const systemTicksField = 12
const residentPagesField = 21

/** Reads `/proc/PID/stat`: https://man7.org/linux/man-pages/man5/proc_pid_stat.5.html */
export async function processUsage (pid: number): Promise<ProcessUsage> {
  const stat = await readFile(`/proc/${pid}/stat`, 'utf8')
  // The command's name may hold spaces, so fields are counted from behind its parenthesis.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
  const field = (index: number): number => Number(fields[index] ?? 0)
  return {
    processorMilliseconds: (field(userTicksField) + field(systemTicksField)) * millisecondsPerTick,
    residentBytes: field(residentPagesField) * bytesPerPage
  }
}

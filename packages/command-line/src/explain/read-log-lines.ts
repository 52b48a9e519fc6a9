/** Reads the logs of instances from files and folders. */
import { createReadStream } from 'node:fs'
import { readdir, stat } from 'node:fs/promises'
import { join } from 'node:path'
import { createInterface } from 'node:readline'
import { messageOf } from '@arbutusloft/protocol'
import { CommandError } from '../command-error.js'
import { ExitCode } from '../exit-code.js'
import { parseLogLine } from './log-line.js'
import type { LogLine } from './log-line.js'

/** Returns the lines of all files, those in folders included; throws a {@link CommandError} if a path cannot be read. */
export async function * readLogLines (paths: readonly string[]): AsyncGenerator<LogLine> {
  for (const path of paths) {
    for (const file of await filesAt(path)) {
      for await (const text of createInterface({ input: createReadStream(file) })) {
        const line = parseLogLine(text)
        if (line !== null) {
          yield line
        }
      }
    }
  }
}

async function filesAt (path: string): Promise<readonly string[]> {
  try {
    if (!(await stat(path)).isDirectory()) {
      return [path]
    }
    const entries = await readdir(path, { withFileTypes: true, recursive: true })
    return entries.filter(entry => entry.isFile()).map(entry => join(entry.parentPath, entry.name)).sort()
  } catch (error) {
    throw new CommandError(ExitCode.Failed, `cannot read ${path}: ${messageOf(error)}`, { cause: error })
  }
}

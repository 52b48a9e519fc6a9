/** Reading of files that are given as arguments of commands. */
import { readFile } from 'node:fs/promises'
import { messageOf } from '@arbutusloft/protocol'
import { CommandError } from '../command-error.js'
import { ExitCode } from '../exit-code.js'

/** Returns the content of a file; throws a {@link CommandError} if it cannot be read. */
export async function readInput (path: string): Promise<Buffer> {
  try {
    return await readFile(path)
  } catch (error) {
    throw new CommandError(ExitCode.Failed, `cannot read ${path}: ${messageOf(error)}`, { cause: error })
  }
}

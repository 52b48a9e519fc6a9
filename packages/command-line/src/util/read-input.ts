/** Reading of files that commands name. */
import { readFile } from 'node:fs/promises'
import { messageOf } from '@arbutusloft/protocol'
import { CommandError } from '../command-error.js'
import { ExitCode } from '../exit-code.js'

/** A file's content. */
export async function readInput (path: string): Promise<Buffer> {
  try {
    return await readFile(path)
  } catch (error) {
    throw new CommandError(ExitCode.Failed, `${path} cannot be read: ${messageOf(error)}`, { cause: error })
  }
}

/** The command `arbutus keys hash`. */
import { randomBytes } from 'node:crypto'
import { hashKey } from '@arbutusloft/configuration'
import { Command, Option } from 'clipanion'
import { ExitCode } from '../exit-code.js'
import { BaseCommand } from './base-command.js'

const keyLengthBytes = 32

/** Prints the hash of a key, as lists and settings files need it. Generates a random key if none is given. */
export class HashKeyCommand extends BaseCommand {
  static override paths = [['keys', 'hash']]
  static override usage = Command.Usage({ category: 'Keys', description: 'Print the hash of a key; without a key, generate one.' })
  readonly key = Option.String({ name: 'key', required: false })

  protected async run (): Promise<number> {
    const key = this.key ?? randomBytes(keyLengthBytes).toString('base64url')
    const hash = hashKey(key)
    if (this.json) {
      this.printJson({ key, hash })
    } else {
      this.print(this.key === undefined ? `key   ${key}\nhash  ${hash}` : hash)
    }
    return ExitCode.Done
  }
}

/** Expected errors that end a command. */
import type { ExitCode } from './exit-code.js'

/** Ends a command with a message for the user and an exit code. */
export class CommandError extends Error {
  override readonly name = 'CommandError'

  constructor (readonly exitCode: ExitCode, message: string, options?: ErrorOptions) {
    super(message, options)
  }
}

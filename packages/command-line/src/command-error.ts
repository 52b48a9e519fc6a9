/** Errors that end a command. */
import type { ExitCode } from './exit-code.js'

/** An error with the message for the user and the exit code. */
export class CommandError extends Error {
  override readonly name = 'CommandError'

  constructor (readonly exitCode: ExitCode, message: string, options?: ErrorOptions) {
    super(message, options)
  }
}

/** Base classes of all commands. */
import { Command, Option } from 'clipanion'
import { ApiClient } from '../api-client.js'
import { CommandError } from '../command-error.js'
import { ExitCode } from '../exit-code.js'

/** Base class of commands. Prints a {@link CommandError} to the standard error and returns its exit code. */
export abstract class BaseCommand extends Command {
  readonly json = Option.Boolean('--json', false, { description: 'Print JSON' })

  async execute (): Promise<number> {
    try {
      return await this.run()
    } catch (error) {
      if (error instanceof CommandError) {
        this.context.stderr.write(`arbutus: ${error.message}\n`)
        return error.exitCode
      }
      throw error
    }
  }

  /** Runs the command and returns its exit code. */
  protected abstract run (): Promise<number>

  /** Prints a text and a line break to the standard output. */
  protected print (line: string): void {
    this.context.stdout.write(`${line}\n`)
  }

  /** Prints a value as indented JSON to the standard output. */
  protected printJson (value: unknown): void {
    this.print(JSON.stringify(value, null, 2))
  }
}

/** Base class of commands that call the operator address of an entry. */
export abstract class OperatorCommand extends BaseCommand {
  readonly address = Option.String('--address', { env: 'ARBUTUS_OPERATOR_ADDRESS', description: 'Operator address of an entry, as ip:port' })
  readonly key = Option.String('--key', { env: 'ARBUTUS_OPERATOR_KEY', description: 'API key of the operator' })

  protected createClient (): ApiClient {
    return createClient(this.address, this.key, 'ARBUTUS_OPERATOR_ADDRESS', 'ARBUTUS_OPERATOR_KEY')
  }
}

/** Base class of commands that call the caller address of an entry. */
export abstract class CallerCommand extends BaseCommand {
  readonly address = Option.String('--address', { env: 'ARBUTUS_ADDRESS', description: 'Caller address of an entry, as ip:port' })
  readonly key = Option.String('--key', { env: 'ARBUTUS_KEY', description: 'API key of the client' })

  protected createClient (): ApiClient {
    return createClient(this.address, this.key, 'ARBUTUS_ADDRESS', 'ARBUTUS_KEY')
  }
}

function createClient (address: string | undefined, key: string | undefined, addressVariable: string, keyVariable: string): ApiClient {
  if (address === undefined) {
    throw new CommandError(ExitCode.Usage, `no address given: use --address ip:port or set ${addressVariable}`)
  }
  if (key === undefined) {
    throw new CommandError(ExitCode.Usage, `no key given: use --key KEY or set ${keyVariable}`)
  }
  return new ApiClient({ address, key })
}

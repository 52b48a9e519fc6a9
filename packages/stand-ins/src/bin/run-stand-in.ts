/** Runs a stand-in as a process of its own. */
import { Builtins, Cli } from 'clipanion'
import type { CommandClass } from 'clipanion'
import type { StandIn } from '../util/stand-in.js'

/** Runs the command of a stand-in with the arguments of this process and sets the exit code. */
export async function runStandIn (programName: string, command: CommandClass): Promise<void> {
  const cli = new Cli({ binaryName: programName })
  cli.register(command)
  cli.register(Builtins.HelpCommand)
  process.exitCode = await cli.run(process.argv.slice(2))
}

/** Prints the address on a line of its own and serves until SIGTERM or SIGINT. */
export async function serveUntilSignal (standIn: StandIn): Promise<void> {
  process.stdout.write(`${standIn.address}\n`)
  await new Promise<void>(resolve => {
    process.once('SIGTERM', resolve)
    process.once('SIGINT', resolve)
  })
  await standIn.close()
}

/** Running of a stand-in as a process. */
import { Builtins, Cli } from 'clipanion'
import type { CommandClass } from 'clipanion'
import type { StandIn } from '../util/stand-in.js'

/** Runs the command that starts a stand-in. */
export async function runStandIn (binary: string, command: CommandClass): Promise<void> {
  const cli = new Cli({ binaryName: binary })
  cli.register(command)
  cli.register(Builtins.HelpCommand)
  process.exitCode = await cli.run(process.argv.slice(2))
}

/** Prints the address on a line of its own and serves until a signal. */
export async function serveUntilSignal (standIn: StandIn): Promise<void> {
  process.stdout.write(`${standIn.address}\n`)
  await new Promise<void>(resolve => {
    process.once('SIGTERM', resolve)
    process.once('SIGINT', resolve)
  })
  await standIn.close()
}

#!/usr/bin/env node
/** Entry point of the `arbutus` command. */
import { Builtins, Cli } from 'clipanion'
import { commands } from '../commands/index.js'

const cli = new Cli({ binaryLabel: 'arbutusloft', binaryName: 'arbutus', binaryVersion: '0.1.0' })
cli.register(Builtins.HelpCommand)
cli.register(Builtins.VersionCommand)
for (const command of commands) {
  cli.register(command)
}
process.exitCode = await cli.run(process.argv.slice(2))

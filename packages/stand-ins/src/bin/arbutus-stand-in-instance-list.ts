#!/usr/bin/env node
/** Command-line program of the stand-in for the instance list. */
import { Command, Option } from 'clipanion'
import { startInstanceListStandIn } from '../instances/instance-list-stand-in.js'
import { runStandIn, serveUntilSignal } from './run-stand-in.js'

class InstanceListCommand extends Command {
  static override paths = [Command.Default]
  static override usage = Command.Usage({ description: 'Run a stand-in for the instance list.' })

  readonly port = Option.String('--port', '0', { description: 'Port to listen on; 0 binds a free one' })
  readonly lagMilliseconds = Option.String('--lag-milliseconds', '0', { description: 'Delay in milliseconds until readers see a change' })

  async execute (): Promise<void> {
    const standIn = await startInstanceListStandIn({
      port: Number(this.port),
      lagMilliseconds: Number(this.lagMilliseconds)
    })
    await serveUntilSignal(standIn)
  }
}

await runStandIn('arbutus-stand-in-instance-list', InstanceListCommand)

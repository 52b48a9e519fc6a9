#!/usr/bin/env node
/** Command-line program of the stand-in for a plain service. */
import { Command, Option } from 'clipanion'
import { startPlainServiceStandIn } from '../plain/plain-service-stand-in.js'
import { runStandIn, serveUntilSignal } from './run-stand-in.js'

class PlainServiceCommand extends Command {
  static override paths = [Command.Default]
  static override usage = Command.Usage({ description: 'Run a stand-in for a plain service.' })

  readonly port = Option.String('--port', '0', { description: 'Port to listen on; 0 binds a free one' })
  readonly milliseconds = Option.String('--milliseconds', '5', { description: 'Duration of an execution in milliseconds' })

  async execute (): Promise<void> {
    const standIn = await startPlainServiceStandIn({
      port: Number(this.port),
      milliseconds: Number(this.milliseconds)
    })
    await serveUntilSignal(standIn)
  }
}

await runStandIn('arbutus-stand-in-service', PlainServiceCommand)

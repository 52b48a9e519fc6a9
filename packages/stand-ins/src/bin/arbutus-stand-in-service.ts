#!/usr/bin/env node
/** Binary of the stand-in for a plain service. */
import { Command, Option } from 'clipanion'
import { startPlainServiceStandIn } from '../plain/plain-service-stand-in.js'
import { runStandIn, serveUntilSignal } from './run-stand-in.js'

class PlainServiceCommand extends Command {
  static override paths = [Command.Default]
  static override usage = Command.Usage({ description: 'Stands in for a plain service.' })

  readonly port = Option.String('--port', '0', { description: 'Port; 0 takes a free one' })
  readonly milliseconds = Option.String('--milliseconds', '5', { description: 'Milliseconds that an execution takes' })

  async execute (): Promise<void> {
    const standIn = await startPlainServiceStandIn({
      port: Number(this.port),
      milliseconds: Number(this.milliseconds)
    })
    await serveUntilSignal(standIn)
  }
}

await runStandIn('arbutus-stand-in-service', PlainServiceCommand)

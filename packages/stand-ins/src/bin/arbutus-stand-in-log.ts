#!/usr/bin/env node
/** Binary of the stand-in for the log service. */
import { Command, Option } from 'clipanion'
import { startLogStandIn } from '../log/log-stand-in.js'
import { runStandIn, serveUntilSignal } from './run-stand-in.js'

class LogCommand extends Command {
  static override paths = [Command.Default]
  static override usage = Command.Usage({ description: 'Stands in for the log service.' })

  readonly port = Option.String('--port', '0', { description: 'Port; 0 takes a free one' })
  readonly appends = Option.String('--appends-per-second', '400', { description: 'Appends a second' })
  readonly retention = Option.String('--retention-milliseconds', '3600000', { description: 'Milliseconds for which entries are kept' })

  async execute (): Promise<void> {
    const standIn = await startLogStandIn({
      port: Number(this.port),
      appendsPerSecond: Number(this.appends),
      retentionMilliseconds: Number(this.retention)
    })
    await serveUntilSignal(standIn)
  }
}

await runStandIn('arbutus-stand-in-log', LogCommand)

#!/usr/bin/env node
/** Command-line program of the stand-in for the log service. */
import { Command, Option } from 'clipanion'
import { startLogStandIn } from '../log/log-stand-in.js'
import { runStandIn, serveUntilSignal } from './run-stand-in.js'

class LogCommand extends Command {
  static override paths = [Command.Default]
  static override usage = Command.Usage({ description: 'Run a stand-in for the log service.' })

  readonly port = Option.String('--port', '0', { description: 'Port to listen on; 0 binds a free one' })
  readonly appendsPerSecond = Option.String('--appends-per-second', '400', { description: 'Maximum rate of appends per second' })
  readonly retentionMilliseconds = Option.String('--retention-milliseconds', '3600000', { description: 'Time in milliseconds for which entries are retained' })

  async execute (): Promise<void> {
    const standIn = await startLogStandIn({
      port: Number(this.port),
      appendsPerSecond: Number(this.appendsPerSecond),
      retentionMilliseconds: Number(this.retentionMilliseconds)
    })
    await serveUntilSignal(standIn)
  }
}

await runStandIn('arbutus-stand-in-log', LogCommand)

#!/usr/bin/env node
/** Command-line program of the stand-in for the weight store. */
import { Command, Option } from 'clipanion'
import { startWeightStoreStandIn } from '../weights/weight-store-stand-in.js'
import { runStandIn, serveUntilSignal } from './run-stand-in.js'

class WeightStoreCommand extends Command {
  static override paths = [Command.Default]
  static override usage = Command.Usage({ description: 'Run a stand-in for the weight store. Its catalogue is empty, so every read of weights is answered with 404.' })

  readonly port = Option.String('--port', '0', { description: 'Port to listen on; 0 binds a free one' })
  readonly bytesPerSecond = Option.String('--bytes-per-second', '1000000000', { description: 'Read rate in bytes per second, shared by all readers' })

  async execute (): Promise<void> {
    const standIn = await startWeightStoreStandIn({
      port: Number(this.port),
      bytesPerSecond: Number(this.bytesPerSecond)
    })
    await serveUntilSignal(standIn)
  }
}

await runStandIn('arbutus-stand-in-weight-store', WeightStoreCommand)

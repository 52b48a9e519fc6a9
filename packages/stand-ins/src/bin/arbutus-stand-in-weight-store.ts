#!/usr/bin/env node
/** Binary of the stand-in for the weight store. */
import { Command, Option } from 'clipanion'
import { startWeightStoreStandIn } from '../weights/weight-store-stand-in.js'
import { runStandIn, serveUntilSignal } from './run-stand-in.js'

class WeightStoreCommand extends Command {
  static override paths = [Command.Default]
  static override usage = Command.Usage({ description: 'Stands in for the weight store.' })

  readonly port = Option.String('--port', '0', { description: 'Port; 0 takes a free one' })
  readonly rate = Option.String('--bytes-per-second', '1000000000', { description: 'Bytes a second for all readers' })

  async execute (): Promise<void> {
    const standIn = await startWeightStoreStandIn({
      port: Number(this.port),
      bytesPerSecond: Number(this.rate)
    })
    await serveUntilSignal(standIn)
  }
}

await runStandIn('arbutus-stand-in-weight-store', WeightStoreCommand)

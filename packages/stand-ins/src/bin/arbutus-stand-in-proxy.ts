#!/usr/bin/env node
/** Binary of the stand-in for a proxy that injects faults. */
import { Command, Option } from 'clipanion'
import { startFaultProxy } from '../proxy/fault-proxy.js'
import { runStandIn, serveUntilSignal } from './run-stand-in.js'

class FaultProxyCommand extends Command {
  static override paths = [Command.Default]
  static override usage = Command.Usage({ description: 'Stands in for a proxy that injects faults; SIGUSR1 cuts open connections, SIGUSR2 silences them.' })

  readonly port = Option.String('--port', '0', { description: 'Port; 0 takes a free one' })
  readonly target = Option.String('--target', '127.0.0.1:1', { description: 'Address to pass connections on to' })

  async execute (): Promise<void> {
    const standIn = await startFaultProxy({
      port: Number(this.port),
      target: this.target
    })
    process.on('SIGUSR1', () => { standIn.cut() })
    process.on('SIGUSR2', () => { standIn.blackhole() })
    await serveUntilSignal(standIn)
  }
}

await runStandIn('arbutus-stand-in-proxy', FaultProxyCommand)

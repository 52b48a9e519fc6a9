#!/usr/bin/env node
/** Command-line program of the fault proxy. */
import { Command, Option } from 'clipanion'
import { startFaultProxy } from '../proxy/fault-proxy.js'
import { runStandIn, serveUntilSignal } from './run-stand-in.js'

class FaultProxyCommand extends Command {
  static override paths = [Command.Default]
  static override usage = Command.Usage({ description: 'Run a TCP proxy that injects faults: SIGUSR1 closes open connections, SIGUSR2 stops forwarding over them.' })

  readonly port = Option.String('--port', '0', { description: 'Port to listen on; 0 binds a free one' })
  readonly target = Option.String('--target', '127.0.0.1:1', { description: 'Address that connections are forwarded to, as ip:port; the default refuses connections' })

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

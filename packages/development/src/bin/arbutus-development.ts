#!/usr/bin/env node
/** Executable of the embedded system: runs it until SIGINT or SIGTERM and prints how to use it. */
import { messageOf } from '@arbutusloft/protocol'
import { startEmbeddedSystem } from '../embedded-system.js'
import type { EmbeddedSystem } from '../embedded-system.js'
import { sample } from '../sample-lists.js'

const callerPort = Number(process.env['ARBUTUS_CALLER_PORT'] ?? 8080)
const operatorPort = Number(process.env['ARBUTUS_OPERATOR_PORT'] ?? 8081)

const system = await start()

process.stdout.write(`arbutusloft is running.

  callers    http://${system.callerAddress}/v1   key ${sample.stylist.key}
  operators  http://${system.operatorAddress}      key ${sample.operator.key}

Try:

  curl -N http://${system.callerAddress}/v1/chat/completions \\
    -H 'authorization: Bearer ${sample.stylist.key}' -H 'content-type: application/json' \\
    -d '{"model":"${sample.model}","stream":true,"messages":[{"role":"user","content":"When can I come in for a fitting?"}]}'

Press Ctrl-C to stop.
`)

await new Promise<void>(resolve => {
  process.once('SIGINT', resolve)
  process.once('SIGTERM', resolve)
})
process.stdout.write('stopping\n')
await system.close()

async function start (): Promise<EmbeddedSystem> {
  try {
    return await startEmbeddedSystem({ callerPort, operatorPort, onLogLine: line => process.stderr.write(line) })
  } catch (error) {
    process.stderr.write(`arbutusloft did not start: ${messageOf(error)}\n` +
      `If a port is in use, set ARBUTUS_CALLER_PORT (now ${callerPort}) or ARBUTUS_OPERATOR_PORT (now ${operatorPort}) to another one.\n`)
    process.exit(1)
  }
}

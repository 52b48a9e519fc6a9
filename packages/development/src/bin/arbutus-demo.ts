#!/usr/bin/env node
/** Executable of the demonstration: runs online requests on an embedded system, first alone and then beside a batch. */
import { startEmbeddedSystem } from '../embedded-system.js'
import { runDemonstration } from '../demonstration/run-demonstration.js'

const system = await startEmbeddedSystem({ engines: 4, entries: 2, schedulers: 2, batches: 2 })
try {
  process.exitCode = await runDemonstration(system, line => process.stdout.write(line + '\n'))
} finally {
  await system.close()
}

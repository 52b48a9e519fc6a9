/** Metrics of a scheduler. */
import type { TargetLoad } from '@arbutusloft/protocol'
import { Gauge } from 'prom-client'
import type { Registry } from 'prom-client'

/** Registers gauges of the targets' loads and of the reported ledger records, computed whenever metrics are read. */
export function addSchedulerMetrics (registry: Registry, loads: () => readonly TargetLoad[], pendingRecords: () => number): void {
  const granted = new Gauge({
    name: 'arbutus_permits_granted',
    help: 'Permits granted and not returned',
    labelNames: ['target', 'class'],
    registers: [registry],
    collect: () => {
      granted.reset()
      for (const load of loads()) {
        granted.set({ target: load.target, class: 'online' }, load.online)
        granted.set({ target: load.target, class: 'batch' }, load.batch)
      }
    }
  })
  const waiting = new Gauge({
    name: 'arbutus_permits_waiting',
    help: 'Online requests that wait for a permit',
    labelNames: ['target'],
    registers: [registry],
    collect: () => {
      waiting.reset()
      for (const load of loads()) {
        waiting.set({ target: load.target }, load.waiting)
      }
    }
  })
  const records = new Gauge({
    name: 'arbutus_ledger_records_guarded',
    help: 'Reported records that the ledger does not show yet',
    registers: [registry],
    collect: () => { records.set(pendingRecords()) }
  })
}

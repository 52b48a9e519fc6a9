/** Tests that the room that batch work leaves free shows in the metrics of the owner. */
import assert from 'node:assert/strict'
import { it } from 'node:test'
import { GatewayMetrics } from '../src/index.js'

it('shows the slots left free of each service, and drops a service that is no longer owned (guards against gauges of a former owner)', async () => {
  const metrics = new GatewayMetrics()
  let rooms = [{ service: 's', slots: 14 }, { service: 't', slots: 0 }]
  metrics.onCollectBatchRooms(() => rooms)
  assert.match(await metrics.registry.metrics(), /arbutus_gateway_batch_room_slots\{service="s"\} 14\n/)
  rooms = [{ service: 't', slots: 3 }]
  const text = await metrics.registry.metrics()
  assert.match(text, /arbutus_gateway_batch_room_slots\{service="t"\} 3\n/)
  assert.doesNotMatch(text, /arbutus_gateway_batch_room_slots\{service="s"\}/)
})

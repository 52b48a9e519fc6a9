/** Tests of the selection of routes and services. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { pickService, RouteKind, RouteTable } from '../../src/index.js'
import type { Route } from '../../src/index.js'

function route (name: string, host: string, prefix: string): Route {
  return {
    name,
    host,
    prefix,
    kind: RouteKind.Stream,
    services: [],
    timeoutMilliseconds: 5_000,
    objectiveMilliseconds: 300,
    priority: 0,
    maxAttempts: 1,
    resumable: false,
    completionMilliseconds: 0,
    retentionMilliseconds: 0,
    waitingTokens: 0
  }
}

const limits = { headerBytes: 1, bodyBytes: 1, headerMilliseconds: 1, idleMilliseconds: 1 }
const table = new RouteTable({
  version: 3,
  limits,
  routes: [route('root', 'a.example', '/'), route('long', 'a.example', '/x/y/'), route('short', 'a.example', '/x/'), route('other', 'b.example', '/x/')]
})

describe('RouteTable', () => {
  it('selects the route with the longest matching prefix of the host', () => {
    assert.equal(table.find('a.example', '/x/y/z')?.name, 'long')
    assert.equal(table.find('a.example', '/x/yy')?.name, 'short')
    assert.equal(table.find('a.example', '/q')?.name, 'root')
    assert.equal(table.find('b.example', '/x/')?.name, 'other')
  })

  it('returns null for an unknown host or path', () => {
    assert.equal(table.find('c.example', '/x/'), null)
    assert.equal(table.find('b.example', '/x'), null)
  })
})

describe('pickService', () => {
  it('selects services in proportion to their weights', () => {
    const services = [{ service: 'one', weight: 90 }, { service: 'none', weight: 0 }, { service: 'two', weight: 10 }]
    assert.equal(pickService(services, 0), 'one')
    assert.equal(pickService(services, 0.89), 'one')
    assert.equal(pickService(services, 0.91), 'two')
    assert.equal(pickService(services, 1), 'two')
    assert.equal(pickService([], 0.5), null)
  })
})

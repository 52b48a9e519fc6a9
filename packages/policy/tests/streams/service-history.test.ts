/** Tests which services a stream can have begun at while routes change. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { RouteKind, RouteTable, ServiceHistory, streamMemoryMilliseconds } from '../../src/index.js'
import type { Route, RouteConfiguration, WeightedService } from '../../src/index.js'

const common = { host: 'h', kind: RouteKind.Stream, timeoutMilliseconds: 1, objectiveMilliseconds: 1, priority: 0, maxAttempts: 1, resumable: true, completionMilliseconds: 0, retentionMilliseconds: 0, waitingTokens: 0 }
const limits = { headerBytes: 1, bodyBytes: 1, headerMilliseconds: 1, idleMilliseconds: 1 }
const changedAt = 1_000_000

function configurationOf (version: number, services: Readonly<Record<string, readonly WeightedService[] | string>>): RouteConfiguration {
  const routes = Object.entries(services).map(([prefix, weighted]) => ({ ...common, name: prefix, prefix, services: typeof weighted === 'string' ? [{ service: weighted, weight: 1 }] : weighted }))
  return { version, routes, limits }
}

/** Returns the services at which a stream on a path can have begun after a change, and those that lost paths. */
function play (former: Parameters<typeof configurationOf>[1], next: Parameters<typeof configurationOf>[1], path: string, afterMilliseconds = 1): { readonly services: readonly string[], readonly left: readonly string[] } {
  const history = new ServiceHistory()
  const table = new RouteTable(configurationOf(2, next))
  const left = history.replace(new RouteTable(configurationOf(1, former)), table, changedAt)
  const route = table.find('h', path) as Route
  return { services: [...history.servicesOf(route, path, changedAt + afterMilliseconds)].sort(), left: [...left] }
}

describe('ServiceHistory', () => {
  it('knows the former service of a route that has moved, until streams of it that began late cannot be taken up any more', () => {
    assert.deepEqual(play({ '/a/': 'one' }, { '/a/': 'two' }, '/a/x'), { services: ['one', 'two'], left: ['one'] })
    assert.deepEqual(play({ '/a/': 'one' }, { '/a/': 'two' }, '/a/x', streamMemoryMilliseconds + 7_000).services, ['one', 'two'])
    assert.deepEqual(play({ '/a/': 'one' }, { '/a/': 'two' }, '/a/x', streamMemoryMilliseconds + 7_001).services, ['two'])
  })

  it('knows the former service of paths that a new route takes from another one, and of no other path', () => {
    const change = [{ '/a/': 'one' }, { '/a/': 'one', '/a/b/': 'two' }] as const
    assert.deepEqual(play(...change, '/a/b/x'), { services: ['one', 'two'], left: ['one'] })
    assert.deepEqual(play(...change, '/a/x').services, ['one'])
  })

  it('knows the former service of paths whose own route was removed', () => {
    const change = [{ '/a/': 'one', '/a/b/': 'two' }, { '/a/': 'one' }] as const
    assert.deepEqual(play(...change, '/a/b/x'), { services: ['one', 'two'], left: ['two'] })
    assert.deepEqual(play(...change, '/a/x').services, ['one'])
  })

  it('counts services with weight only, of which a route may have several', () => {
    const weights = (one: number, two: number): Readonly<Record<string, readonly WeightedService[]>> => ({ '/a/': [{ service: 'one', weight: one }, { service: 'two', weight: two }] })
    assert.deepEqual(play(weights(1, 0), weights(3, 0), '/a/x'), { services: ['one'], left: [] })
    assert.deepEqual(play(weights(1, 0), weights(0, 3), '/a/x'), { services: ['one', 'two'], left: ['one'] })
    assert.deepEqual(play(weights(1, 1), weights(1, 2), '/a/x'), { services: ['one', 'two'], left: [] })
  })

  it('changes nothing for routes that keep their services while thousands are added, and remembers several changes', () => {
    const many = Object.fromEntries(Array.from({ length: 5_000 }, (_, index) => [`/r${index}/`, 'one']))
    assert.deepEqual(play({ '/a/': 'one' }, { '/a/': 'one', ...many }, '/a/x'), { services: ['one'], left: [] })
    const history = new ServiceHistory()
    const tables = ['one', 'two', 'three'].map((service, index) => new RouteTable(configurationOf(index, { '/a/': service })))
    tables.slice(1).forEach((next, index) => { history.replace(tables[index] as RouteTable, next, changedAt + index) })
    assert.deepEqual([...history.servicesOf(tables[2]?.find('h', '/a/') as Route, '/a/x', changedAt + 2)].sort(), ['one', 'three', 'two'])
  })

  it('changes nothing for paths that have a route of their own while the one of a shorter prefix moves', () => {
    const change = [{ '/': 'one', '/a/': 'two' }, { '/': 'three', '/a/': 'two' }] as const
    assert.deepEqual(play(...change, '/a/x').services, ['two'])
    assert.deepEqual(play(...change, '/x').services, ['one', 'three'])
  })

  it('knows all former services of a path that gets a route of its own after the one of a shorter prefix has moved, and loses it again', () => {
    const history = new ServiceHistory()
    const configurations: ReadonlyArray<Readonly<Record<string, string>>> = [{ '/': 'one' }, { '/': 'two' }, { '/': 'two', '/a/': 'three' }, { '/': 'two' }]
    const tables = configurations.map((services, index) => new RouteTable(configurationOf(index, services)))
    const servicesNow = tables.slice(1).map((next, index) => {
      history.replace(tables[index] as RouteTable, next, changedAt + index)
      return [...history.servicesOf(next.find('h', '/a/x') as Route, '/a/x', changedAt + index)].sort().join(' ')
    })
    assert.deepEqual(servicesNow, ['one two', 'one three two', 'one three two'])
  })
})

/** Tests which peers are asked to relay a connection. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { RelayChoice } from '../../src/index.js'
import type { RelayPeer } from '../../src/index.js'

const near: readonly RelayPeer[] = ['a', 'b', 'c', 'd'].map(address => ({ address, isNear: true, isStopping: false }))
const far: readonly RelayPeer[] = ['x', 'y', 'z'].map(address => ({ address, isNear: false, isStopping: false }))
const stopping: readonly RelayPeer[] = ['s', 't', 'u'].map((address, index) => ({ address, isNear: index === 0, isStopping: true }))

describe('RelayChoice', () => {
  it('takes a near peer first, and a distant one second', () => {
    const choice = new RelayChoice()
    assert.deepEqual(choice.choose([...near, ...far], 0), ['a', 'x', 'b'])
    assert.deepEqual(choice.choose(near, 0), ['a', 'b', 'c'])
    assert.deepEqual(choice.choose(far, 0), ['x', 'y', 'z'])
    assert.deepEqual(choice.choose([...near.slice(0, 1), ...far], 0), ['a', 'x', 'y'])
    assert.deepEqual(choice.choose(near.slice(0, 1), 0), ['a'])
    assert.deepEqual(choice.choose([], 0), [])
  })

  it('does not take peers that could not relay, for two seconds', () => {
    const choice = new RelayChoice()
    choice.avoid('a', 0)
    choice.avoid('x', 0)
    assert.deepEqual(choice.choose([...near, ...far], 1_999), ['b', 'y', 'c'])
    assert.deepEqual(choice.choose([...near, ...far], 2_000), ['a', 'x', 'b'])
  })

  it('takes the one that was avoided first if all are to be avoided', () => {
    const choice = new RelayChoice()
    choice.avoid('b', 0)
    choice.avoid('a', 1)
    choice.avoid('b', 2)
    assert.deepEqual(choice.choose(near.slice(0, 2), 3), ['a'])
  })

  it('takes peers that stop after all others', () => {
    const choice = new RelayChoice()
    assert.deepEqual(choice.choose([...stopping, ...near.slice(0, 1), ...far.slice(0, 1)], 0), ['a', 'x', 's'])
    assert.deepEqual(choice.choose([...stopping, ...near], 0), ['a', 'b', 'c'])
  })

  it('takes a peer that stops before those that could not relay, and then the one of these that was avoided first', () => {
    const choice = new RelayChoice()
    choice.avoid('b', 0)
    choice.avoid('a', 1)
    assert.deepEqual(choice.choose([...near.slice(0, 2), ...stopping], 2), ['s', 't', 'b'])
    choice.avoid('s', 2)
    assert.deepEqual(choice.choose([...near.slice(0, 2), ...stopping], 3), ['t', 'u', 'b'])
    assert.deepEqual(choice.choose([...near.slice(0, 2), ...stopping.slice(0, 1)], 3), ['b', 's'])
  })

  it('takes peers that stop if there are no others, also those that could not relay', () => {
    const choice = new RelayChoice()
    assert.deepEqual(choice.choose(stopping, 0), ['s', 't'])
    choice.avoid('s', 0)
    assert.deepEqual(choice.choose(stopping.slice(0, 1), 1), ['s'])
  })

  it('does not avoid a peer for longer because the clock was set back', () => {
    const choice = new RelayChoice()
    choice.avoid('a', 10_000)
    assert.deepEqual(choice.choose(near.slice(0, 2), 1_000), ['a', 'b'])
  })
})

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { TargetPaths } from '@arbutusloft/policy'
import { Detachment } from '../../src/targets/detachment.js'

const known = 8

function cutOff (paths: TargetPaths): void {
  for (const target of ['a', 'b']) {
    paths.recordDirectFailure(target, known, Date.now())
    paths.recordRelaySuccess(target, known, Date.now())
  }
}

describe('Detachment', () => {
  it('tells members of a cut at once, and of its end once that has lasted for a second', context => {
    context.mock.timers.enable({ apis: ['setTimeout', 'Date'] })
    const told: boolean[] = []
    const paths = new TargetPaths()
    const detachment = new Detachment(paths, { setDetached: isDetached => { told.push(isDetached) } })
    cutOff(paths)
    assert.deepEqual(told, [true])
    paths.recordDirectSuccess('a', Date.now())
    context.mock.timers.tick(999)
    assert.deepEqual(told, [true])
    cutOff(paths)
    context.mock.timers.tick(5_000)
    assert.equal(told.includes(false), false)
    paths.recordDirectSuccess('a', Date.now())
    context.mock.timers.tick(1_000)
    assert.equal(told.at(-1), false)
    detachment.close()
  })
})

/** Tests which way new connections to targets take while an instance is cut off from one or all of them. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { PathChangeKind, TargetPath, TargetPaths } from '../../src/index.js'
import type { PathChange } from '../../src/index.js'

const known = 8
const probeMilliseconds = 500

/** Paths of an instance for which a peer has reached targets that it did not reach. */
function pathsAfter (...targets: readonly string[]): { readonly paths: TargetPaths, readonly changes: PathChange[] } {
  const paths = new TargetPaths()
  const changes: PathChange[] = []
  paths.onChange(change => { changes.push(change) })
  for (const target of targets) {
    paths.recordDirectFailure(target, known, 0)
    paths.recordRelaySuccess(target, known, 0)
  }
  return { paths, changes }
}

describe('TargetPaths', () => {
  it('are direct, also after failures that nobody has found to be of the path', () => {
    const { paths } = pathsAfter()
    paths.recordRelaySuccess('a', known, 0)
    paths.recordDirectFailure('a', known, 0)
    paths.recordDirectFailure('b', known, 0)
    assert.equal(paths.choose('a', 0), TargetPath.Direct)
    assert.equal(paths.isCutOff, false)
  })

  it('go through peers for a target that only peers reach, and stay direct for others', () => {
    const { paths, changes } = pathsAfter('a')
    assert.equal(paths.choose('a', 0), TargetPath.Relayed)
    assert.equal(paths.choose('b', 0), TargetPath.Direct)
    assert.equal(paths.isCutOff, false)
    assert.deepEqual(changes, [{ kind: PathChangeKind.TargetRelayed, target: 'a', relayed: 1, failed: 1 }])
  })

  it('go through peers for all targets once only peers reach two of them', () => {
    const { paths, changes } = pathsAfter('a', 'b')
    assert.equal(paths.isCutOff, true)
    assert.equal(paths.choose('c', 0), TargetPath.Relayed)
    assert.deepEqual(changes.at(-1), { kind: PathChangeKind.CutOff, target: 'b', relayed: 2, failed: 2 })
  })

  it('go through peers for all targets if there is only one and only peers reach it', () => {
    const paths = new TargetPaths()
    paths.recordDirectFailure('a', 1, 0)
    assert.equal(paths.isCutOff, false)
    paths.recordRelaySuccess('a', 1, 0)
    assert.equal(paths.isCutOff, true)
  })

  it('do not count as cut off if a direct connection to another target was made between two failures', () => {
    const { paths } = pathsAfter('a')
    paths.recordDirectSuccess('c', 1)
    paths.recordDirectFailure('b', known, 2)
    paths.recordRelaySuccess('b', known, 2)
    assert.equal(paths.isCutOff, false)
    assert.equal(paths.choose('a', 2), TargetPath.Relayed)
    paths.recordDirectFailure('a', known, 3)
    assert.equal(paths.isCutOff, true)
  })

  it('try the direct way with one connection in half a second', () => {
    for (const { paths } of [pathsAfter('a'), pathsAfter('a', 'b')]) {
      const ways: TargetPath[] = []
      for (let now = 0; now < 3 * probeMilliseconds; now += 100) {
        ways.push(paths.choose('a', now))
      }
      assert.deepEqual(ways.flatMap((way, index) => way === TargetPath.Both ? [index] : []), [5, 10])
      assert.ok(!ways.includes(TargetPath.Direct))
    }
  })

  it('try the direct way at once after the clock was set back', () => {
    for (const { paths } of [pathsAfter('a'), pathsAfter('a', 'b')]) {
      assert.equal(paths.choose('a', -10_000), TargetPath.Both)
    }
  })

  it('are direct again after a direct connection; each target that failed is tried both ways at once', () => {
    const { paths, changes } = pathsAfter('a', 'b')
    changes.length = 0
    paths.recordDirectSuccess('a', 10)
    assert.equal(paths.isCutOff, false)
    assert.deepEqual(changes.map(({ kind, target }) => [kind, target]), [[PathChangeKind.Reconnected, 'a'], [PathChangeKind.TargetDirect, 'a']])
    assert.deepEqual(['a', 'b', 'c'].map(target => paths.choose(target, 10)), [TargetPath.Direct, TargetPath.Both, TargetPath.Direct])
    paths.recordDirectSuccess('b', 11)
    assert.equal(paths.choose('b', 11), TargetPath.Direct)
  })

  it('can tell that a target is gone unless other targets have failed since the last direct connection, too', () => {
    const { paths } = pathsAfter()
    assert.equal(paths.canTell('a'), true)
    paths.recordDirectFailure('a', known, 0)
    assert.deepEqual(['a', 'b'].map(target => paths.canTell(target)), [true, false])
    paths.recordDirectSuccess('c', 1)
    assert.equal(paths.canTell('b'), true)
  })

  it('were direct lately for a second after a direct connection, unless the instance is cut off', () => {
    const { paths } = pathsAfter()
    assert.equal(paths.hasRecentSuccess(0), false)
    paths.recordDirectSuccess('c', 0)
    assert.deepEqual([0, 999, 1_000].map(now => paths.hasRecentSuccess(now)), [true, true, false])
    for (const target of ['a', 'b']) {
      paths.recordDirectFailure(target, known, 100)
      paths.recordRelaySuccess(target, known, 100)
    }
    assert.equal(paths.hasRecentSuccess(200), false)
  })

  it('forget targets that have left', () => {
    const { paths } = pathsAfter('a')
    paths.retainTargets(new Set(['b']))
    assert.equal(paths.choose('a', 0), TargetPath.Direct)
    paths.recordDirectFailure('b', known, 0)
    paths.recordRelaySuccess('b', known, 0)
    assert.equal(paths.isCutOff, false)
  })
})

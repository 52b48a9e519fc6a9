/** Tests that an owner grants slots only from a list of targets that is recent. */
import assert from 'node:assert/strict'
import { afterEach, describe, it, mock } from 'node:test'
import { DecisionKind, LeavingTargets, CrashQuarantine, RefusalReason, VersionHistory } from '@arbutusloft/policy'
import type { SlotDecision, SlotRequest } from '@arbutusloft/policy'
import { WorkClass } from '@arbutusloft/protocol'
import { SlotOwner, TargetFreshness, TargetRegistry, TargetState } from '../../src/index.js'
import type { Target, TargetSource } from '../../src/index.js'
import { sleep } from '../../src/util/sleep.js'
import { createTestLogger } from '../util/test-logger.js'

const target: Target = { id: 'one', service: 's', address: '1:1', zone: 'a', slots: 2, state: TargetState.Ready, born: 1, softwareVersion: 'v1' }
const maximumAgeMilliseconds = 1_300

function request (permit: string, workClass: WorkClass = WorkClass.Online): SlotRequest {
  return { permit, holder: 'h', workClass, zone: 'a', prefix: [], digest: '', excluded: [], continues: null, patience: 750, spent: 0, latestReturn: 500, due: 0, ran: 0, sinceStart: 0 }
}

/** A list whose age and refreshes the test decides on. */
class PreparedSource implements TargetSource {
  ageMilliseconds = 0
  refreshes = 0
  #end: (isRead: boolean) => void = () => {}

  async refresh (): Promise<boolean> {
    this.refreshes += 1
    return await new Promise(resolve => { this.#end = resolve })
  }

  async endRefresh (isRead: boolean): Promise<void> {
    this.ageMilliseconds = isRead ? 0 : this.ageMilliseconds
    this.#end(isRead)
    await new Promise(resolve => { setImmediate(resolve) })
  }
}

describe('SlotOwner', () => {
  let owner: SlotOwner | null = null

  function createOwner (source: TargetSource): { readonly owner: SlotOwner, readonly targets: TargetRegistry, readonly granted: string[] } {
    const targets = new TargetRegistry()
    const freshness = new TargetFreshness()
    freshness.follow({ source, maximumAgeMilliseconds, logger: createTestLogger() })
    targets.replace([target, { ...target, id: 'two' }])
    const granted: string[] = []
    const record = (_service: string, decision: SlotDecision): void => {
      if (decision.kind === DecisionKind.Grant) {
        granted.push(`${decision.permit} ${decision.target}`)
      }
    }
    owner = new SlotOwner(targets, freshness, new LeavingTargets(), new CrashQuarantine(), new VersionHistory(), record)
    return { owner, targets, granted }
  }

  afterEach(() => { owner?.close() })

  it('finds the version that began a stream by its history if the holder does not know it, and else refuses at once', () => {
    const history = new VersionHistory()
    history.restore(new Map(), 0)
    history.observe('s', new Set(['v1']), Date.now())
    const targets = new TargetRegistry()
    targets.replace([target])
    const decisions: SlotDecision[] = []
    owner = new SlotOwner(targets, new TargetFreshness(), new LeavingTargets(), new CrashQuarantine(), history, (_service, decision) => { decisions.push(decision) })
    const unknown = { softwareVersion: '', target: '', born: 0 }
    assert.ok(owner.request('s', { ...request('a'), continues: unknown }))
    history.observe('s', new Set(['v1', 'v2']), Date.now())
    assert.ok(owner.request('s', { ...request('b'), continues: unknown }))
    assert.ok(owner.request('s', { ...request('c', WorkClass.Batch), continues: unknown }))
    assert.ok(owner.request('s', { ...request('d'), continues: { ...unknown, softwareVersion: 'v1' } }))
    assert.deepEqual(decisions.map(decision => [decision.permit, decision.kind, decision.kind === DecisionKind.Refuse ? decision.reason : null]), [
      ['a', DecisionKind.Grant, null],
      ['b', DecisionKind.Refuse, RefusalReason.VersionUnknown],
      ['c', DecisionKind.Refuse, RefusalReason.VersionUnknown],
      ['d', DecisionKind.Grant, null]
    ])
  })

  /** Creates an owner that has seen one version, and whose confirmations the test ends. */
  function createConfirmingOwner (): { readonly owner: SlotOwner, readonly decisions: string[], readonly confirmations: Array<(isConfirmed: boolean) => void>, readonly history: VersionHistory } {
    const history = new VersionHistory()
    history.restore(new Map(), 0)
    history.observe('s', new Set(['v1']), Date.now())
    const targets = new TargetRegistry()
    targets.replace([target])
    const decisions: string[] = []
    const confirmations: Array<(isConfirmed: boolean) => void> = []
    const confirmation = { confirm: async () => await new Promise<boolean>(resolve => { confirmations.push(resolve) }) }
    const record = (_service: string, decision: SlotDecision): void => { decisions.push(`${decision.permit} ${decision.kind === DecisionKind.Refuse ? decision.reason : decision.kind}`) }
    owner = new SlotOwner(targets, new TargetFreshness(), new LeavingTargets(), new CrashQuarantine(), history, record, confirmation)
    return { owner, decisions, confirmations, history }
  }

  const unknownOrigin = { softwareVersion: '', target: '', born: 0 }

  it('relies on the versions that it has seen only once they are confirmed, and decides once on a repeated request', async () => {
    const { owner, decisions, confirmations, history } = createConfirmingOwner()
    for (const permit of ['a', 'b', 'c', 'a']) {
      assert.equal(owner.request('s', { ...request(permit), continues: unknownOrigin }), false)
    }
    assert.deepEqual([decisions, confirmations.length], [[], 3])
    confirmations[0]?.(true)
    confirmations[1]?.(false)
    await sleep(0)
    history.observe('s', new Set(['v1', 'v2']), Date.now())
    confirmations[2]?.(true)
    await sleep(0)
    assert.deepEqual(decisions, [`a ${DecisionKind.Grant}`, `b ${RefusalReason.VersionUnknown}`, `c ${RefusalReason.VersionUnknown}`])
  })

  it('does not decide on a request that was withdrawn or released while the versions were being confirmed', async () => {
    const { owner, decisions, confirmations } = createConfirmingOwner()
    owner.request('s', { ...request('a'), continues: unknownOrigin })
    owner.request('s', { ...request('b'), continues: unknownOrigin })
    owner.withdraw('s', 'a')
    owner.release('s', 'b', 'stopped', null)
    confirmations.forEach(settle => { settle(true) })
    await sleep(0)
    assert.deepEqual(decisions, [])
  })

  it('needs no confirmation for requests that continue no stream, or one whose version is known', async () => {
    const { owner, confirmations, decisions } = createConfirmingOwner()
    assert.ok(owner.request('s', request('a')))
    assert.equal(owner.request('s', { ...request('b'), continues: { ...unknownOrigin, softwareVersion: 'v1' } }), false)
    assert.equal(owner.request('s', { ...request('c', WorkClass.Batch), continues: { ...unknownOrigin, softwareVersion: 'v2' } }), true)
    await sleep(0)
    assert.deepEqual([confirmations.length, decisions], [0, [`a ${DecisionKind.Grant}`, `c ${RefusalReason.VersionGone}`, `b ${DecisionKind.Grant}`]])
  })

  it('that was paused grants slots only after it has read which targets left meanwhile', async () => {
    const source = new PreparedSource()
    const { owner, targets, granted } = createOwner(source)
    source.ageMilliseconds = 4_000
    assert.equal(owner.request('s', request('p1')), false)
    owner.report('s', 'h', [])
    owner.release('s', 'unknown', 'stopped', null)
    assert.deepEqual([granted, source.refreshes], [[], 1])
    targets.replace([{ ...target, state: TargetState.Draining }, { ...target, id: 'two' }])
    await source.endRefresh(true)
    assert.deepEqual(granted, ['p1 two'])
  })

  it('grants no slot to waiting requests while its list is out of date', async () => {
    const source = new PreparedSource()
    const { owner, granted } = createOwner(source)
    for (const permit of ['p1', 'p2', 'p3', 'p4', 'p5']) {
      owner.request('s', request(permit))
    }
    source.ageMilliseconds = maximumAgeMilliseconds + 1
    owner.release('s', 'p1', 'finished', null)
    assert.equal(granted.length, 4)
    await source.endRefresh(true)
    assert.equal(granted.length, 5)
  })

  it('reads its list again after the clock was set back', () => {
    const source = new PreparedSource()
    const { owner, granted } = createOwner(source)
    source.ageMilliseconds = -2_000
    owner.request('s', request('p1'))
    assert.deepEqual([granted, source.refreshes], [[], 1])
  })

  it('grants slots while nobody has access to the store', async () => {
    const source = new PreparedSource()
    const { owner, granted } = createOwner(source)
    source.ageMilliseconds = 5_000
    owner.request('s', request('p1'))
    await source.endRefresh(false)
    owner.request('s', request('p2'))
    assert.deepEqual([granted.length, source.refreshes], [2, 1])
  })

  it('reads its list again soon after nobody had access to the store, and grants slots meanwhile', async () => {
    const source = new PreparedSource()
    const { owner, targets, granted } = createOwner(source)
    source.ageMilliseconds = 5_000
    owner.request('s', request('p1'))
    await source.endRefresh(false)
    await sleep(350)
    owner.request('s', request('p2'))
    assert.deepEqual([granted.length, source.refreshes], [2, 2])
    targets.replace([{ ...target, state: TargetState.Draining }, { ...target, id: 'two' }])
    await source.endRefresh(true)
    owner.request('s', request('p3'))
    assert.equal(granted.at(-1), 'p3 two')
  })

  it('does not take a refresh during which the process was paused for one without access to the store', async context => {
    mock.timers.enable({ apis: ['Date'], now: 1_000_000 })
    context.after(() => { mock.timers.reset() })
    const source = new PreparedSource()
    const { owner, granted } = createOwner(source)
    source.ageMilliseconds = 5_000
    owner.request('s', request('p1'))
    mock.timers.tick(3_000)
    await source.endRefresh(false)
    assert.deepEqual([granted, source.refreshes], [[], 2])
    await source.endRefresh(true)
    assert.equal(granted.length, 1)
  })

  it('does not grant a request that was released while its list was read', async () => {
    const source = new PreparedSource()
    const { owner, granted } = createOwner(source)
    source.ageMilliseconds = 5_000
    owner.request('s', request('p1'))
    owner.release('s', 'p1', 'stopped', null)
    await source.endRefresh(true)
    assert.deepEqual(granted, [])
  })

  it('does not grant a request that was withdrawn while its list was read', async () => {
    const source = new PreparedSource()
    const { owner, granted } = createOwner(source)
    source.ageMilliseconds = 5_000
    owner.request('s', request('p1'))
    owner.withdraw('s', 'p1')
    await source.endRefresh(true)
    assert.deepEqual(granted, [])
  })
})

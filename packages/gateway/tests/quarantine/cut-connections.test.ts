/** Tests, on a paused clock, that connections of cut-off holders which break are not taken for crashes of targets, and that crashes still are. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { TestContext } from 'node:test'
import { CrashQuarantine, DecisionKind, LeavingTargets, QuarantineAdmission, SlotOutcome, VersionHistory } from '@arbutusloft/policy'
import type { SlotDecision } from '@arbutusloft/policy'
import { WorkClass } from '@arbutusloft/protocol'
import { SlotOwner, TargetFreshness, TargetRegistry, TargetState } from '../../src/index.js'

const service = 's'
const targetIds = ['t0', 't1', 't2', 't3', 't4', 't5', 't6', 't7']

/** An owner whose holders dispatch requests and report how these end. */
class TestOwner {
  readonly quarantine = new CrashQuarantine()
  readonly #owner: SlotOwner
  readonly #decisions = new Map<string, SlotDecision>()
  readonly #contents = new Map<string, { readonly target: string, readonly parts: readonly string[], readonly digest: string }>()

  constructor (private readonly context: TestContext) {
    context.mock.timers.enable({ apis: ['setTimeout', 'Date'], now: 1_000_000 })
    const targets = new TargetRegistry()
    targets.replace(targetIds.map(id => ({ id, service, address: `${id}:1`, zone: 'a', slots: 16, state: TargetState.Ready, born: 1, softwareVersion: 'v1' })))
    this.#owner = new SlotOwner(targets, new TargetFreshness(), new LeavingTargets(), this.quarantine, new VersionHistory(), (_, decision) => { this.#decisions.set(decision.permit, decision) })
    context.after(() => { this.#owner.close() })
  }

  /** Dispatches a request to a target; its permit names all three, so that each of them is dispatched once. */
  dispatch (holder: string, target: string, digest: string, parts: readonly string[] = []): string {
    const permit = `${holder}/${target}/${digest}/${Date.now()}`
    const excluded = targetIds.filter(id => id !== target)
    this.#owner.request(service, { permit, holder, workClass: WorkClass.Online, zone: 'a', prefix: parts, digest, excluded, continues: null, patience: 700, spent: 0, latestReturn: 500, due: 0, ran: 0, sinceStart: 0 })
    const decision = this.#decisions.get(permit)
    assert.ok(decision?.kind === DecisionKind.Grant && decision.target === target, `${permit} was not granted`)
    this.#contents.set(permit, { target, parts, digest })
    return permit
  }

  crash (...permits: readonly string[]): void {
    for (const permit of permits) {
      this.#owner.release(service, permit, SlotOutcome.Crashed, this.#contents.get(permit) ?? null)
    }
  }

  /** Lets a holder report crashes under permits that another owner granted. */
  crashUnknown (holder: string, reports: ReadonlyArray<{ readonly target: string, readonly parts: readonly string[], readonly digest: string }>): void {
    for (const report of reports) {
      this.#owner.release(service, `${holder}/${report.target}/unknown`, SlotOutcome.Crashed, report, holder)
    }
  }

  finish (...permits: readonly string[]): void {
    for (const permit of permits) {
      this.#owner.release(service, permit, SlotOutcome.Finished, null)
    }
  }

  wait (milliseconds: number): void {
    this.context.mock.timers.tick(milliseconds)
  }

  isHeldBack (digest: string, parts: readonly string[] = []): boolean {
    return this.quarantine.decide({ parts, digest }, Date.now()).admission === QuarantineAdmission.Quarantined
  }
}

describe('connections of a cut-off holder that break', () => {
  it('hold back no part that its requests share, once the targets have completed answers which they had begun before', context => {
    const owner = new TestOwner(context)
    const others = targetIds.map(target => owner.dispatch('other', target, `sound-${target}`))
    const cut = targetIds.slice(0, 4).map(target => owner.dispatch('cut', target, `cut-${target}`, ['shared']))
    owner.wait(50)
    owner.crash(...cut)
    owner.wait(400)
    owner.finish(...others)
    assert.ok(!owner.isHeldBack('next', ['shared']))
  })

  it('hold back no request that was tried at targets which have completed other answers since', context => {
    const owner = new TestOwner(context)
    const others = targetIds.map(target => owner.dispatch('other', target, `sound-${target}`))
    for (const target of targetIds.slice(0, 3)) {
      const permit = owner.dispatch('cut', target, 'request')
      owner.wait(50)
      owner.crash(permit)
    }
    assert.ok(owner.isHeldBack('request'))
    owner.wait(400)
    owner.finish(...others)
    assert.ok(!owner.isHeldBack('request'))
  })

  it('hold back nothing either if another owner had granted the slots', context => {
    const owner = new TestOwner(context)
    const sound = targetIds.slice(0, 3).map(target => owner.dispatch('other', target, `sound-${target}`))
    owner.wait(50)
    owner.crashUnknown('cut', targetIds.slice(0, 3).map(target => ({ target, parts: ['shared'], digest: `broken-${target}` })))
    assert.ok(owner.isHeldBack('next', ['shared']))
    owner.wait(400)
    owner.finish(...sound)
    assert.ok(!owner.isHeldBack('next', ['shared']))
  })

  it('hold back nothing from then on until it reaches a target', context => {
    const owner = new TestOwner(context)
    const others = targetIds.map(target => owner.dispatch('other', target, `sound-${target}`))
    owner.crash(owner.dispatch('cut', 't0', 'first'))
    owner.wait(400)
    owner.finish(...others)
    for (const target of targetIds.slice(1, 5)) {
      const permit = owner.dispatch('cut', target, 'second')
      owner.wait(50)
      owner.crash(permit)
    }
    assert.ok(!owner.isHeldBack('second'))
    owner.finish(owner.dispatch('cut', 't6', 'sound'))
    for (const target of targetIds.slice(1, 4)) {
      const permit = owner.dispatch('cut', target, 'third')
      owner.wait(50)
      owner.crash(permit)
    }
    assert.ok(owner.isHeldBack('third'))
  })

  it('hold back nothing if different requests break at most targets and no other holder has any', context => {
    const owner = new TestOwner(context)
    owner.quarantine.onCompleted({ parts: ['shared'], digest: '' })
    for (let round = 0; round < 3; round += 1) {
      const cut = targetIds.map(target => owner.dispatch('cut', target, `${round}-${target}`, ['shared']))
      owner.wait(50)
      owner.crash(...cut)
      owner.wait(1_000)
    }
    assert.ok(!owner.isHeldBack('next', ['shared']))
  })
})

describe('requests that crash targets', () => {
  it('are held back although one holder sends all of them and meets nothing else', context => {
    const owner = new TestOwner(context)
    for (const target of targetIds.slice(0, 6)) {
      if (owner.isHeldBack('deadly')) {
        break
      }
      const permit = owner.dispatch('only', target, 'deadly')
      owner.wait(50)
      owner.crash(permit)
      owner.wait(600)
    }
    assert.ok(owner.isHeldBack('deadly'))
    assert.ok(owner.quarantine.entries(Date.now()).length === 1)
  })

  it('are held back although they interrupt other requests of the same holder, and most targets crash under them', context => {
    const owner = new TestOwner(context)
    const deadly = targetIds.map(target => owner.dispatch('only', target, `deadly-${target}`, ['bad']))
    const bystanders = targetIds.map(target => owner.dispatch('only', target, `sound-${target}`, ['good']))
    owner.wait(50)
    owner.crash(...deadly, ...bystanders)
    assert.ok(owner.isHeldBack('next', ['bad']))
  })

  it('are held back although other holders crash the targets under sound requests of a holder that crashes others', context => {
    const owner = new TestOwner(context)
    const deadly = targetIds.slice(0, 5).map((target, index) => owner.dispatch(`h${index}`, target, 'deadly'))
    const bystanders = targetIds.slice(0, 5).flatMap(target => [0, 1, 2, 3, 4].map(index => owner.dispatch(`h${index}`, target, `sound-${target}-${index}`)))
    owner.wait(50)
    owner.crash(...deadly, ...bystanders)
    assert.ok(owner.isHeldBack('deadly'))
  })

  it('are held back although an answer that was complete before the crash is reported late', context => {
    const owner = new TestOwner(context)
    const late: string[] = []
    for (const target of targetIds.slice(0, 3)) {
      late.push(owner.dispatch('other', target, `sound-${target}`))
      const permit = owner.dispatch('h', target, 'deadly')
      owner.wait(50)
      owner.crash(permit)
      owner.wait(100)
      owner.finish(...late.splice(0))
    }
    assert.ok(owner.isHeldBack('deadly'))
  })

  it('are held back although the targets serve other requests once they have started again', context => {
    const owner = new TestOwner(context)
    for (const target of targetIds.slice(0, 3)) {
      const permit = owner.dispatch('h', target, 'deadly')
      owner.wait(50)
      owner.crash(permit)
    }
    owner.wait(500)
    const later = targetIds.slice(0, 3).map(target => owner.dispatch('other', target, `sound-${target}`))
    owner.wait(400)
    owner.finish(...later)
    assert.equal(owner.quarantine.entries(Date.now()).length, 1)
  })
})

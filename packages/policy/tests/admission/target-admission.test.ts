import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { PermitRefusal, WorkClass } from '@arbutusloft/protocol'
import fc from 'fast-check'
import { DecisionKind } from '../../src/admission/decision.js'
import type { Decision } from '../../src/admission/decision.js'
import { TargetAdmission } from '../../src/admission/target-admission.js'
import type { AdmissionRequest } from '../../src/admission/target-admission.js'

const seed = Number(process.env['FAST_CHECK_SEED'] ?? 20_261_203)
const concurrency = 4
const outcome = { timeToFirstToken: 10, timeBetweenTokens: 5 }

function request (permit: string, workClass: WorkClass, overrides: Partial<AdmissionRequest> = {}): AdmissionRequest {
  return { permit, holder: 'h', workClass, client: 'c', cost: { promptTokens: 1, completionTokens: 1 }, patience: 1_000, slack: 0, weight: 1, ...overrides }
}

function createAdmission (): TargetAdmission {
  return new TargetAdmission('t', { concurrency, headroom: 1 })
}

function describeDecisions (decisions: readonly Decision[]): readonly string[] {
  return decisions.map(decision => `${decision.kind} ${decision.permit}`)
}

void describe('TargetAdmission', () => {
  void it('grants an online request at once and revokes batch permits for it', () => {
    const admission = createAdmission()
    for (const permit of ['b1', 'b2', 'b3']) {
      assert.deepEqual(describeDecisions(admission.request(request(permit, WorkClass.Batch), 0)), [`grant ${permit}`])
    }
    // Batch slots left after each online grant: the initial limit of half the slots, then what online work leaves free.
    const batchSlotsLeft = new Map([['o1', 2], ['o2', 2], ['o3', 1], ['o4', 0]])
    let running = 3
    for (const [permit, left] of batchSlotsLeft) {
      const decisions = describeDecisions(admission.request(request(permit, WorkClass.Online), 1))
      assert.equal(decisions[0], `grant ${permit}`)
      assert.ok(decisions.slice(1).every(decision => decision.startsWith('revoke b')))
      assert.equal(decisions.length - 1, running - left)
      running = left
    }
  })

  void it('leaves headroom for the next online request', () => {
    const admission = createAdmission()
    const granted = ['b1', 'b2', 'b3', 'b4'].flatMap(permit => describeDecisions(admission.request(request(permit, WorkClass.Batch), 0)))
    assert.equal(granted.length, concurrency - 1)
  })

  void it('rejects an online request that would wait too long, with a retry delay', () => {
    const admission = createAdmission()
    for (let index = 0; index < concurrency; index++) {
      admission.request(request(`o${index}`, WorkClass.Online), 0)
    }
    const [decision] = admission.request(request('late', WorkClass.Online, { patience: 10 }), 0)
    assert.ok(decision?.kind === DecisionKind.Refuse)
    assert.equal(decision.reason, PermitRefusal.Busy)
    assert.ok(decision.retryAfter > 0)
  })

  void it('grants a waiting online request before a waiting batch request', () => {
    const admission = createAdmission()
    for (let index = 0; index < concurrency; index++) {
      admission.request(request(`o${index}`, WorkClass.Online), 0)
    }
    assert.deepEqual(admission.request(request('batch', WorkClass.Batch), 0), [])
    assert.deepEqual(admission.request(request('online', WorkClass.Online, { patience: 10_000 }), 0), [])
    assert.deepEqual(describeDecisions(admission.release('o0', outcome, 5)), ['grant online'])
  })

  void it('rejects waiting and new requests while the target drains', () => {
    const admission = createAdmission()
    for (let index = 0; index < concurrency; index++) {
      admission.request(request(`o${index}`, WorkClass.Online), 0)
    }
    admission.request(request('waiting', WorkClass.Batch), 0)
    assert.deepEqual(describeDecisions(admission.startDraining()), ['refuse waiting'])
    assert.deepEqual(describeDecisions(admission.request(request('new', WorkClass.Online), 1)), ['refuse new'])
  })

  void it('frees the permits of a failed holder', () => {
    const admission = createAdmission()
    admission.request(request('o0', WorkClass.Online, { holder: 'lost' }), 0)
    admission.freeOtherPermits('lost', new Set(), 1)
    assert.equal(admission.grantedCount, 0)
  })

  void it('never grants online permits beyond the concurrency, nor batch permits beyond what online work leaves', () => {
    type Step = { readonly kind: 'request', readonly workClass: WorkClass } | { readonly kind: 'release', readonly index: number } | { readonly kind: 'tick' }
    const step: fc.Arbitrary<Step> = fc.oneof(
      fc.record({ kind: fc.constant('request' as const), workClass: fc.constantFrom(WorkClass.Online, WorkClass.Batch) }),
      fc.record({ kind: fc.constant('release' as const), index: fc.nat() }),
      fc.record({ kind: fc.constant('tick' as const) })
    )
    fc.assert(fc.property(fc.array(step, { maxLength: 80 }), steps => {
      const admission = createAdmission()
      const held = new Map<string, WorkClass>()
      const revoked = new Set<string>()
      const classes = new Map<string, WorkClass>()
      const applyDecisions = (decisions: readonly Decision[]): void => {
        for (const { kind, permit } of decisions) {
          if (kind === DecisionKind.Grant) {
            assert.ok(!held.has(permit), 'permit was granted twice')
            held.set(permit, classes.get(permit) ?? WorkClass.Batch)
          } else if (kind === DecisionKind.Revoke) {
            assert.equal(held.get(permit), WorkClass.Batch)
            revoked.add(permit)
          }
        }
      }
      steps.forEach((each, now) => {
        if (each.kind === 'request') {
          classes.set(`p${now}`, each.workClass)
          applyDecisions(admission.request(request(`p${now}`, each.workClass), now))
        } else if (each.kind === 'release' && held.size > 0) {
          const permit = [...held.keys()][each.index % held.size] ?? ''
          held.delete(permit)
          revoked.delete(permit)
          applyDecisions(admission.release(permit, outcome, now))
        } else if (each.kind === 'tick') {
          applyDecisions(admission.tick(now))
        }
        const online = [...held.values()].filter(workClass => workClass === WorkClass.Online).length
        const batch = [...held].filter(([permit, workClass]) => workClass === WorkClass.Batch && !revoked.has(permit)).length
        assert.ok(online <= concurrency)
        assert.ok(online + batch <= concurrency)
      })
    }), { seed })
  })
})

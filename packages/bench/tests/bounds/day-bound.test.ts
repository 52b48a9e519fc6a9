/** The model of a day, on a small site of our own. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { boundOf } from '../../src/bounds/day-bound.js'
import { parseSiteFile, SiteFileError } from '../../src/bounds/site-file.js'
import type { SiteDay, SiteFile } from '../../src/bounds/site-file.js'

const text = `
name = "small"
lead_s = 5.0
length_s = 20.0
bounds = { recover_s = 5.0 }
prices = { machine_s = 0.1 }
goal = { mean = 0.7, window = 0.15, class = 0.15, zone = 0.0 }
machines = [{ count = 2 }]
services = [{ servers = [{ count = 2 }, { count = 2 }], slots = 5, llm = { step_ms = 4.0, stride = 5, prefill_tokens_per_ms = 50.0 } }]
classes = [
  { name = "ask", kind = "stream", aim_ms = 300.0, worth = 3.0, late_worth = 0.5, stream = { pieces = { mean = 30.0 }, prompt_tokens = { mean = 250.0 } } },
  { name = "job", kind = "batch", aim_ms = 500.0, worth = 20.0, late_worth = 2.0, stream = { pieces = { mean = 100.0 }, prompt_tokens = { mean = 250.0 } }, lot = { run_aim_ms = 10000.0, items = { mean = 4.0 } } },
]
[[day]]
name = "quiet"
traffic = [
  { mix = { ask = 1.0 }, per_s = 10.0, shape = { kind = "steady" } },
  { mix = { job = 1.0 }, per_s = 0.5, shape = { kind = "steady" } },
]
`
const site = parseSiteFile(text)
const [quiet] = site.day as [SiteDay]
// Items need eight slots, online requests six; half of the targets have ten.
const busy = quiet.traffic.map(traffic => ({ ...traffic, per_s: traffic.per_s * ('job' in traffic.mix ? 2 : 1) }))
// 2 machines for 25 s at 0.1, of 200 requests of 3 and 40 items of 20.
const machinePrice = 2 * 25 * 0.1 / (200 * 3 + 40 * 20)

function boundWith (change: Partial<SiteDay>, ofSite: Partial<SiteFile> = {}): ReturnType<typeof boundOf> {
  return boundOf({ ...site, ...ofSite }, { ...quiet, ...change })
}

describe('the bound of a day', () => {
  it('is all but the price of machines where nothing is lost', () => {
    const { whole, windows, worstClass, bound, machines } = boundWith({})
    assert.deepEqual([whole, windows, worstClass], [1, 1, 1])
    assert.ok(Math.abs(machines - machinePrice) < 0.001, `${machines}`)
    assert.ok(Math.abs(bound - 1 + machinePrice) < 0.001, `${bound}`)
  })

  it('loses what came while no instance ran', () => {
    const { whole, windows } = boundWith({ closing: { kind: 'power_off_all', down_s: 1.7 } })
    assert.ok(windows < 0.9 && whole < 1 && whole > 0.95, `${windows} ${whole}`)
  })

  it('loses jobs, and nothing else, that came while the whole store was down', () => {
    const outage = { kind: 'platform_down', at: 5, for_s: 6, how: 'reset', share: 0 }
    const { whole, worstClass } = boundWith({ faults: [outage] })
    // Three of ten jobs keep a tenth of their worth.
    assert.ok(Math.abs(worstClass - (7 + 3 * 0.1) / 10) < 0.001, `${worstClass}`)
    assert.ok(whole > worstClass)
    assert.equal(boundWith({ faults: [{ ...outage, how: 'nodes silent', share: 0.35 }] }).whole, 1)
    assert.equal(boundWith({ faults: [{ ...outage, share: 0.3 }] }).whole, 1)
  })

  it('gives slots to online requests first when targets are lost', () => {
    const crash = { kind: 'srv_crash', at: 0, for_s: 40, share: 0.5 }
    const { whole, worstClass } = boundWith({ faults: [crash], traffic: busy })
    assert.ok(worstClass < 0.9 && whole < 1, `${worstClass} ${whole}`)
    const owed = 200 * 3 + 80 * 20
    // All online requests are still in time: only items lose.
    assert.ok(Math.abs(whole - (200 * 3 + worstClass * 80 * 20) / owed) < 0.001)
  })

  it('loses targets for good that leave', () => {
    const leaving = { kind: 'scale_in', at: 0, share: 0.5 }
    assert.ok(boundWith({ plan: [leaving], traffic: busy }).whole < boundWith({ faults: [{ ...leaving, kind: 'srv_crash', for_s: 2 }], traffic: busy }).whole)
  })

  it('plays traffic and targets at the share that the file gives', () => {
    assert.equal(boundWith({}, { thin: 0.5 }).whole, 1)
    assert.ok(boundWith({}, { thin: 0.5 }).machines > 1.9 * machinePrice)
  })

  it('says what is wrong with a file', () => {
    assert.throws(() => parseSiteFile(text.replace('lead_s = 5.0', '')), (error: unknown) => error instanceof SiteFileError && error.message.includes('lead_s'))
  })
})

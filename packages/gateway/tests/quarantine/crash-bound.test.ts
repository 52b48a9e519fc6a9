/**
 * Tests, on a paused clock, how often a request that crashes targets reaches them over all instances: real decisions and sharing over an
 * in-memory network, with owners that are lost, replaced and divided from others.
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { TestContext } from 'node:test'
import { CrashQuarantine, QuarantineAdmission } from '@arbutusloft/policy'
import type { RequestContent } from '@arbutusloft/policy'
import { GatewayMetrics } from '../../src/metrics.js'
import { MemberState } from '../../src/peers/member.js'
import type { Member } from '../../src/peers/member.js'
import { QuarantineLog } from '../../src/quarantine/quarantine-log.js'
import { QuarantineSharing } from '../../src/quarantine/quarantine-sharing.js'
import { FaultyLog } from '../util/faulty-topic.js'
import { LoopbackNetwork } from '../util/loopback-transport.js'
import { createTestLogger } from '../util/test-logger.js'

const content: RequestContent = { parts: ['shared', 'subject'], digest: 'crashing-request' }
/** The users' bounds. */
const crashesBeforeBound = 3
const maximumLaterArrivals = 3
const contactMilliseconds = 3_000

const attemptsOfCall = 2
const crashMilliseconds = 40
const callIntervalMilliseconds = 100
const stepMilliseconds = 5
const playMilliseconds = 100_000
const successorCount = 3

interface Process {
  readonly member: Member
  readonly quarantine: CrashQuarantine
  readonly sharing: QuarantineSharing
}

/** A fleet whose owner is the first living process that the holder reaches. */
class FleetOfOwners {
  readonly network = new LoopbackNetwork()
  /** Times at which the request reached targets, and whether its holder was divided from most others. */
  readonly arrivals: Array<{ readonly at: number, readonly isDivided: boolean }> = []
  readonly #processes: Process[] = []
  readonly #lost = new Set<number>()
  readonly #divided = new Set<number>()
  readonly #log = new FaultyLog(() => 1, false)
  #crashes = 0

  constructor (private readonly count: number) {
    for (let index = 0; index < count; index += 1) {
      this.#processes.push(this.#create(index))
    }
  }

  /** Number of calls that reached targets. */
  get crashes (): number {
    return this.#crashes
  }

  /** Loses a process; the others tell the next owner what they know. */
  lose (index: number): void {
    this.#lost.add(index)
    this.#tellOwner()
  }

  /** Starts a process again, which knows nothing before it has read the log or was told. */
  restart (index: number): void {
    const process = this.#create(index)
    this.#processes[index] = process
    void process.sharing.load()
    this.#lost.delete(index)
    this.#tellOwner()
  }

  /** Divides the first processes from the others; 0 ends the division. */
  divide (count: number): void {
    this.#divided.clear()
    for (let index = 0; index < count; index += 1) {
      this.#divided.add(index)
    }
    this.network.divide(new Set([...this.#divided].map(index => addressOf(index))))
    this.#tellOwner()
  }

  /** Sends the request to a process, which makes as many attempts as the route allows while targets crash under them. */
  call (holder: number, attempt = 1): void {
    const owner = this.#ownerOf(holder)
    if (owner === undefined || this.#lost.has(holder)) {
      return
    }
    const permit = `${holder}-${Date.now()}-${attempt}`
    if (owner.quarantine.decide(content, Date.now()).admission !== QuarantineAdmission.Admitted) {
      return
    }
    owner.quarantine.onDispatched(permit, content, Date.now())
    this.arrivals.push({ at: Date.now(), isDivided: this.#divided.has(holder) })
    setTimeout(() => {
      this.#crashes += 1
      this.#ownerOf(holder)?.quarantine.onCrashed(permit, { target: `target-${this.#crashes}`, ...content }, Date.now())
      if (attempt < attemptsOfCall) {
        this.call(holder, attempt + 1)
      }
    }, crashMilliseconds)
  }

  #ownerOf (holder: number): Process | undefined {
    return this.#processes.find((_, index) => !this.#lost.has(index) && this.#divided.has(index) === this.#divided.has(holder))
  }

  #tellOwner (): void {
    for (const [index, { sharing }] of this.#processes.entries()) {
      const owner = this.#ownerOf(index)
      if (!this.#lost.has(index) && owner !== undefined && owner.member.address !== addressOf(index)) {
        sharing.tell(owner.member.address)
      }
    }
  }

  #create (index: number): Process {
    const member = memberAt(index)
    const quarantine = new CrashQuarantine()
    const logger = createTestLogger()
    const sharing = new QuarantineSharing({
      quarantine,
      membership: { self: member, live: () => Array.from({ length: this.count }, (_, other) => memberAt(other)) },
      transport: this.network.join(member.address),
      successors: () => Array.from({ length: successorCount }, (_, other) => addressOf(other)).filter(address => address !== member.address),
      log: new QuarantineLog(this.#log.connect(), logger),
      metrics: new GatewayMetrics(),
      logger
    })
    return { member, quarantine, sharing }
  }
}

function addressOf (index: number): string {
  return `10.0.${index >>> 8}.${index % 256}`
}

function memberAt (index: number): Member {
  return { address: addressOf(index), zone: 'a', incarnation: 1, capacity: 1_000, state: MemberState.Ready }
}

/** Plays calls at all processes in turn on a paused clock; `disturb` is called before each step with the crashes so far. */
async function play (context: TestContext, count: number, disturb: (fleet: FleetOfOwners, now: number) => void, callsAtOnce = 1): Promise<FleetOfOwners> {
  context.mock.timers.enable({ apis: ['setTimeout', 'Date'] })
  const fleet = new FleetOfOwners(count)
  for (let now = 0; now < playMilliseconds; now += stepMilliseconds) {
    if (now % callIntervalMilliseconds === 0) {
      for (let call = 0; call < callsAtOnce; call += 1) {
        fleet.call((now / callIntervalMilliseconds * 7 + call) % count)
      }
    }
    disturb(fleet, now)
    context.mock.timers.tick(stepMilliseconds)
    await Promise.resolve()
  }
  return fleet
}

function assertBounded ({ arrivals }: FleetOfOwners): void {
  const third = arrivals[crashesBeforeBound - 1]
  assert.ok(third !== undefined, `${arrivals.length} arrivals, too few to test the bound`)
  const later = arrivals.filter(({ at, isDivided }) => !isDivided && at > third.at + crashMilliseconds + contactMilliseconds)
  assert.ok(later.length >= 1 && later.length <= maximumLaterArrivals, `${later.length} of ${arrivals.length} arrivals later than the bound: ${arrivals.map(({ at }) => at).join()}`)
}

for (const count of [12, 76, 195]) {
  describe(`a request that crashes targets, at ${count} instances`, () => {
    it('reaches targets three times at most after the bound', async context => {
      assertBounded(await play(context, count, () => {}))
    })

    it('does so although it comes to five instances at once', async context => {
      assertBounded(await play(context, count, () => {}, 5))
    })

    it('does so although the owner is lost right after the third crash', async context => {
      let isLost = false
      assertBounded(await play(context, count, fleet => {
        if (!isLost && fleet.crashes === crashesBeforeBound) {
          isLost = true
          fleet.lose(0)
        }
      }))
    })

    it('does so although the owner changes after each crash', async context => {
      let lost = 0
      assertBounded(await play(context, count, fleet => {
        if (lost < fleet.crashes && lost < successorCount - 1) {
          fleet.lose(lost)
          lost += 1
        }
      }))
    })

    it('does so although owners are lost and return again and again', async context => {
      assertBounded(await play(context, count, (fleet, now) => {
        const owner = Math.floor(now / 1_500) % successorCount
        if (now % 1_500 === 0) {
          fleet.lose(owner)
        } else if (now % 1_500 === 1_000) {
          fleet.restart(owner)
        }
      }))
    })

    it('does so at the others although a third of the instances are divided from them for a while', async context => {
      assertBounded(await play(context, count, (fleet, now) => {
        if (now === 200 || now === 12_000) {
          fleet.divide(now === 200 ? Math.floor(count / 3) : 0)
        }
      }))
    })
  })
}

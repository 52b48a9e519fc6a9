/**
 * Simulates fleets of several sizes, and prints the time until a dead member is removed everywhere and the traffic of a
 * member: `npm run measure:membership -- --sizes 30,100,300,1000 --seed 1 --dead 1` (`--dead 0.55` for a share of the fleet).
 */
import { mock } from 'node:test'
import { parseArgs } from 'node:util'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { Membership, MemberState } from '../../src/index.js'
import { LoopbackNetwork } from '../util/loopback-transport.js'
import { createTestLogger } from '../util/test-logger.js'

const { values } = parseArgs({
  options: { sizes: { type: 'string', default: '30,100,300,1000' }, seed: { type: 'string', default: '1' }, dead: { type: 'string', default: '1' } }
})
const stepMilliseconds = 10
const startMilliseconds = 2_000
const settleMilliseconds = 5_000
const steadyMilliseconds = 3_000
const limitMilliseconds = 10_000
const millisecondsPerSecond = 1_000

mock.timers.enable({ apis: ['Date', 'setTimeout', 'setInterval'], now: 1_780_000_000_000 })
const generator = xoroshiro128plus(Number(values.seed))
const range = 2 ** 30
Math.random = () => uniformInt(generator, 0, range - 1) / range

for (const size of values.sizes.split(',').map(Number)) {
  process.stdout.write(`${simulate(size, Number(values.dead))}\n`)
}

function simulate (size: number, dead: number): string {
  const network = new LoopbackNetwork()
  const members = Array.from({ length: size }, (_, number) => {
    const address = `10.${number % 3}.${Math.floor(number / 200)}.${number % 200 + 1}`
    const options = { zone: `zone-${number % 3}`, incarnation: Date.now() + number, capacity: 1_350, seeds: ['10.0.0.1', '10.1.0.2'] }
    return { address, membership: new Membership(network.join(address), options, createTestLogger()) }
  })
  advance(startMilliseconds)
  members.forEach(({ membership }) => { membership.setState(MemberState.Ready) })
  advance(settleMilliseconds)
  const before = { sent: network.sent, bytes: network.bytes }
  advance(steadyMilliseconds)
  const seconds = steadyMilliseconds / millisecondsPerSecond
  const sent = (network.sent - before.sent) / size / seconds
  const bytes = (network.bytes - before.bytes) / size / seconds
  const failed = new Set(members.slice(0, dead < 1 ? Math.floor(size * dead) : dead))
  const observers = members.filter(member => !failed.has(member))
  failed.forEach(({ address, membership }) => {
    network.isolate(address)
    membership.close()
  })
  const removal = millisecondsUntil(() => observers.every(({ membership }) => membership.ready().length === observers.length))
  members.forEach(({ membership }) => { membership.close() })
  return `${size} members: ${sent.toFixed(1)} messages and ${bytes.toFixed(0)} bytes sent a second a member; ${failed.size} dead removed everywhere after ${removal} ms`
}

function millisecondsUntil (condition: () => boolean): number {
  let passed = 0
  while (!condition() && passed < limitMilliseconds) {
    advance(stepMilliseconds)
    passed += stepMilliseconds
  }
  return passed
}

function advance (milliseconds: number): void {
  for (let passed = 0; passed < milliseconds; passed += stepMilliseconds) {
    mock.timers.tick(stepMilliseconds)
  }
}

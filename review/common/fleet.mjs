/** Starts the processes of a small deployment with the command of the deploy file, and ends them. */
import { spawn } from 'node:child_process'
import { existsSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync, writeSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { StoreStandIn } from '../../platform/dist/tests/stand-ins/store-stand-in.js'
import { call } from './client.mjs'

const root = fileURLToPath(new URL('../../', import.meta.url))
const roleCommand = /^run = "(.*)"$/m.exec(readFileSync(join(root, 'deploy/system.toml'), 'utf8'))[1]

/** Settings as in DEPLOY.md, with its bounds; the addresses are loopback addresses. */
export const bounds = { graceSeconds: 8, contactMilliseconds: 3_000, configApplyMilliseconds: 2_000, lossSlackMilliseconds: 200, settleMilliseconds: 1_000, completionSeconds: 18 }

export const host = 'host.example'
export const service = 'model'

export const sleep = milliseconds => new Promise(resolve => { setTimeout(resolve, milliseconds) })

export async function waitUntil (condition, description, milliseconds = 15_000) {
  const deadline = Date.now() + milliseconds
  while (!await condition()) {
    if (Date.now() > deadline) {
      throw new Error(`not within ${milliseconds} ms: ${description}`)
    }
    await sleep(20)
  }
}

/** Routes of the configuration, with the figures of the sheet of the first installation. */
export function streamRoute (name, prefix, { resumable, attempts }) {
  return { name, host, prefix, service, kind: 'streaming', timeout_ms: 5_000, target_latency_ms: 300, priority: 0, session_affinity: true, gap_target_ms: 250, max_attempts: attempts, resumable }
}

export function batchRoute (name, prefix) {
  return { name, host, prefix, service, kind: 'batch_job', timeout_ms: 15_000, target_latency_ms: 500, priority: 2, session_affinity: true, gap_target_ms: 250, max_attempts: 3, completion_target_ms: 18_000, retention_s: 60, max_count: 1_200_000 }
}

export function configuration (version, routes) {
  return { version, routes, services: [{ name: service }], limits: { header_bytes: 16_384, body_bytes: 4_194_304, header_ms: 3_000, idle_ms: 15_000 } }
}

/** Writes lines of what was sent, answered and run, with the milliseconds since the start. */
export class Record {
  #startedAt = Date.now()
  #file

  constructor (path) {
    this.#file = openSync(path, 'w')
  }

  line (text) {
    writeSync(this.#file, `${String(Date.now() - this.#startedAt).padStart(7)} ${text}\n`)
  }
}

async function isFree (address, port) {
  const server = createServer()
  return await new Promise(resolve => {
    server.once('error', () => { resolve(false) })
    server.listen(port, address, () => { server.close(() => { resolve(true) }) })
  })
}

async function freePorts (addresses, count) {
  for (let tries = 0; tries < 200; tries += 1) {
    const first = 20_000 + Math.floor(Math.random() * 10_000)
    const ports = Array.from({ length: count }, (_, index) => first + index)
    const free = await Promise.all(ports.flatMap(port => addresses.map(address => isFree(address, port))))
    if (free.every(Boolean)) {
      return ports
    }
  }
  throw new Error('no free ports')
}

/** Processes of the system, and the store. */
export class Fleet {
  #directory = mkdtempSync(join(tmpdir(), 'review-'))
  #processes = new Map()
  #ports = []

  constructor (record, count) {
    this.record = record
    this.addresses = Array.from({ length: count }, (_, index) => `127.0.1.${index + 1}`)
  }

  async start (routes, targets) {
    if (!existsSync(join(root, 'target/arbutus-instance.mjs'))) {
      throw new Error('the build of the deploy file is missing')
    }
    this.store = await StoreStandIn.start(this.addresses.length)
    this.configure(1, routes)
    for (const target of targets) {
      this.store.put('keyed.servers', target.id, target.entry())
    }
    this.#heartbeat = setInterval(() => { targets.forEach(target => { this.store.put('keyed.servers', target.id, target.entry()) }) }, 1_200)
    this.#ports = await freePorts(this.addresses, 6)
    this.addresses.forEach((_, index) => { this.startProcess(index) })
    await waitUntil(async () => (await Promise.all(this.addresses.map((_, index) => this.isReady(index)))).every(Boolean), 'all processes are ready')
    // With more processes than zones, clients are told those of their zone only.
    const expected = this.addresses.length > 3 ? 2 : this.addresses.length
    await waitUntil(async () => (await Promise.all(this.addresses.map((_, index) => this.resolve(index)))).every(found => found.length >= expected), 'all processes know each other')
  }

  #heartbeat = null

  configure (version, routes) {
    this.store.put('keyed.op', 'config', configuration(version, routes))
    this.record.line(`operator: the store has acknowledged version ${version} with the routes ${routes.map(({ name }) => name).join(', ')}`)
  }

  #settings (index) {
    const [front, ready, directory, internal] = this.#ports
    const address = this.addresses[index]
    return [
      `node=i-${index + 1}`, `ip_address=${address}`, `zone=${'abc'[index % 3]}`,
      `listen_addresses.front=${address}:${front}`, `listen_addresses.ready=${address}:${ready}`, `listen_addresses.directory=${address}:${directory}`,
      `internal_ports=${internal},${internal + 2}`,
      `seed_addresses=${this.addresses.slice(0, 3).map(seed => `${seed}:${internal}`).join(',')}`,
      `platform.address=${this.store.addresses[index]}`, 'platform.parts=24',
      `timing_bounds.grace_period_s=${bounds.graceSeconds}`, 'timing_bounds.ttl_max_s=5', 'timing_bounds.status_retention_s=120',
      `timing_bounds.contact_ms=${bounds.contactMilliseconds}`, 'timing_bounds.drain_deadline_ms=2000', 'limits.cpu_share=0.675', 'limits.cpu_cores=2'
    ].join('\n') + '\n'
  }

  /** Freezes a process and wakes it after a time, whatever else goes on. */
  async freeze (index, milliseconds) {
    this.signal(index, 'SIGSTOP')
    await sleep(milliseconds)
    this.signal(index, 'SIGCONT')
  }

  startProcess (index) {
    const path = join(this.#directory, `i-${index + 1}.conf`)
    writeFileSync(path, this.#settings(index))
    const [program, ...words] = roleCommand.split(' ')
    const child = spawn(program, words, { cwd: root, env: { PATH: process.env.PATH, HOME: process.env.HOME ?? '/', ARBUTUSLOFT_CONFIG: path }, stdio: ['ignore', 'pipe', 'pipe'] })
    this.#processes.set(index, child)
    const started = { child, lines: '' }
    child.stdout.on('data', chunk => { this.onLog?.(index, String(chunk)) })
    child.stderr.on('data', chunk => { this.record.line(`process ${index + 1} on standard error: ${String(chunk).trim()}`) })
    child.once('exit', (code, signal) => { this.record.line(`process ${index + 1} has ended: code ${code}, signal ${signal}`) })
    return started
  }

  signal (index, signal) {
    this.record.line(`process ${index + 1} gets ${signal}`)
    this.#processes.get(index).kill(signal)
  }

  isRunning (index) {
    const child = this.#processes.get(index)
    return child !== undefined && child.exitCode === null && child.signalCode === null
  }

  async isReady (index) {
    const answer = await call(`http://${this.addresses[index]}:${this.#ports[1]}/ready`, { method: 'GET', timeoutMilliseconds: 1_000 })
    return answer.status === 200
  }

  /** Addresses that the directory of a process gives a client. */
  async resolve (index) {
    const answer = await call(`http://${this.addresses[index]}:${this.#ports[2]}/resolve?name=${host}&region=r&zone=a`, { method: 'GET', timeoutMilliseconds: 1_000 })
    return answer.status === 200 ? JSON.parse(answer.body).addresses : []
  }

  url (index, path) {
    return `http://${this.addresses[index]}:${this.#ports[0]}${path}`
  }

  async close () {
    clearInterval(this.#heartbeat)
    for (const child of this.#processes.values()) {
      if (child.exitCode === null && child.signalCode === null) {
        const ended = new Promise(resolve => { child.once('exit', resolve) })
        child.kill('SIGCONT')
        child.kill('SIGKILL')
        await ended
      }
    }
    await this.store?.close()
    rmSync(this.#directory, { recursive: true, force: true })
  }
}

/** Time after which a case ends its processes and counts as one that could not run. */
const maximumMilliseconds = 110_000

/**
 * Runs a case: exits with 1 if it returns broken rules, 0 if it returns none, and 2 if it could not run.
 *
 * @param hasTrouble whether the disruption is played
 */
export async function runCase (directory, count, hasTrouble, run) {
  const record = new Record(fileURLToPath(new URL('record.txt', directory)))
  record.line(hasTrouble ? 'with the disruption' : 'without the disruption')
  const fleet = new Fleet(record, count)
  const closers = []
  let code = 2
  try {
    const stopped = new Promise((resolve, reject) => {
      setTimeout(() => { reject(new Error('the case took too long')) }, maximumMilliseconds)
      for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) {
        process.once(signal, () => { reject(new Error(`ended by ${signal}`)) })
      }
    })
    const broken = await Promise.race([run({ fleet, record, closers }), stopped])
    for (const text of broken) {
      record.line(`BROKEN ${text}`)
      console.log(`broken: ${text}`)
    }
    code = broken.length > 0 ? 1 : 0
  } catch (error) {
    record.line(`could not run: ${error.stack}`)
    console.log(`could not run: ${error.message}`)
  } finally {
    await fleet.close()
    await Promise.all(closers.map(close => close()))
    record.line(`exit code ${code}`)
  }
  process.exit(code)
}

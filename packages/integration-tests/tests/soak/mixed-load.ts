/** Mixed load on a cluster: online calls, calls that may not be repeated, batches and edits of lists. */
import { pause, sample, until } from '@arbutusloft/development'
import type { Cluster } from '@arbutusloft/development'
import { MemberKind } from '@arbutusloft/adapters'
import type { ReadResults } from '../checkers/check-items.js'
import type { SeenRevision } from '../checkers/check-revisions.js'
import { Caller } from '../harness/caller.js'
import { chatEndpoint, chatLines, confirmEndpoint, confirmLines, itemNames } from '../harness/batch-input.js'
import type { History } from '../harness/history.js'
import { readResults } from '../harness/read-results.js'

/** A job that was accepted. */
export interface AcceptedJob {
  readonly job: string
  readonly items: readonly string[]
  /** Model or service. */
  readonly subject: string
}

const chatLanes = 6
const confirmLanes = 2
const chatTokens = 24
const itemsPerJob = 40
const resends = 3

/** Drives the cluster until it is stopped. */
export class MixedLoad {
  readonly jobs: AcceptedJob[] = []
  readonly revisions: SeenRevision[] = []
  readonly #caller: Caller
  readonly #lanes: Array<Promise<void>> = []
  #stopped = false
  #counter = 0

  constructor (private readonly cluster: Cluster, history: History) {
    this.#caller = new Caller({ addresses: () => cluster.callerAddresses(), key: sample.stylist.key, history })
  }

  start (): void {
    for (let lane = 0; lane < chatLanes; lane++) {
      this.#lanes.push(this.#repeat(async () => { await this.#caller.chat(`slot ${this.#next()}`, chatTokens) }, 30))
    }
    for (let lane = 0; lane < confirmLanes; lane++) {
      this.#lanes.push(this.#repeat(async () => { await this.#confirm() }, 100))
    }
    this.#lanes.push(this.#repeat(async () => { await this.#submit() }, 1_500))
    this.#lanes.push(this.#repeat(async () => { await this.#edit() }, 700))
    for (const entry of this.cluster.of(MemberKind.Entry)) {
      this.#lanes.push(this.#repeat(async () => { await this.#watch(entry.member, entry.addresses['operator'] ?? '') }, 50))
    }
  }

  /** Stops sending and waits for what is open. */
  async stop (): Promise<void> {
    this.#stopped = true
    await Promise.all(this.#lanes)
  }

  /** Results of all accepted jobs, once they have ended. */
  async results (): Promise<readonly ReadResults[]> {
    const results: ReadResults[] = []
    for (const { job, items } of this.jobs) {
      results.push(await readResults(this.#caller, job, items))
    }
    return results
  }

  async #repeat (action: () => Promise<void>, milliseconds: number): Promise<void> {
    while (!this.#stopped) {
      try {
        await action()
      } catch {
        // Faults make requests fail; what counts is in the history.
      }
      await pause(milliseconds)
    }
  }

  #next (): number {
    this.#counter += 1
    return this.#counter
  }

  /** Sends a key and resends it until it is answered, as a patient caller would. */
  async #confirm (): Promise<void> {
    const key = `key-${this.#next()}`
    for (let send = 0; send < resends; send++) {
      const answer = await this.#caller.confirm(key)
      if (answer.status === 200) {
        return
      }
      await pause(50)
    }
  }

  /** Submits a job and resends it with its key until it is accepted. */
  async #submit (): Promise<void> {
    const number = this.#next()
    const single = number % 3 === 0
    const items = itemNames(`job-${number}`, itemsPerJob)
    const lines = single ? confirmLines(items) : chatLines(items, chatTokens)
    let job: string | null = null
    await until('a job is accepted', async () => {
      const file = await this.#caller.upload(lines)
      await until('the job is created', async () => {
        const batch = await this.#caller.createBatch(file, single ? confirmEndpoint : chatEndpoint, `job-${number}`)
        job = String(batch['id'])
        return true
      })
      return true
    })
    if (job !== null) {
      this.jobs.push({ job, items, subject: single ? sample.service : sample.model })
    }
  }

  async #edit (): Promise<void> {
    const address = this.cluster.operatorAddress(this.#next() % 2)
    const headers = { authorization: `Bearer ${sample.operator.key}` }
    const list = await (await fetch(`http://${address}/admin/lists/usage`, { headers: { ...headers, accept: 'application/json' } })).json() as {
      readonly sections: ReadonlyArray<{ readonly name: string, readonly body: string, readonly revision: number }>
    }
    const plan = list.sections.find(section => section.name === 'plan standard')
    const body = plan?.body.replace(/requests-per-minute = \d+/, `requests-per-minute = ${6_000_000 + this.#next()}`)
    const response = await fetch(`http://${address}/admin/lists/usage/edits`, {
      method: 'POST',
      headers: { ...headers, 'content-type': 'application/json' },
      body: JSON.stringify({ sections: [{ section: 'plan standard', base: plan?.revision, body }] })
    })
    await response.text()
  }

  async #watch (process: string, address: string): Promise<void> {
    const current = this.cluster.of(MemberKind.Entry).find(entry => entry.member === process)?.addresses['operator'] ?? address
    const response = await fetch(`http://${current}/admin/lists/plans`, {
      headers: { authorization: `Bearer ${sample.operator.key}` },
      signal: AbortSignal.timeout(5_000)
    })
    await response.text()
    const revision = Number(response.headers.get('etag')?.replaceAll('"', '') ?? NaN)
    if (!Number.isNaN(revision)) {
      this.revisions.push({ process, revision, at: Date.now() })
    }
  }
}

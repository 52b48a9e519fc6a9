/** Mixed load on a cluster: online chat requests, non-idempotent calls, batches and edits of lists. */
import { sample, sleep, waitUntil } from '@arbutusloft/development'
import type { Cluster } from '@arbutusloft/development'
import { MemberKind } from '@arbutusloft/adapters'
import type { JobResults } from '../checkers/check-items.js'
import type { ObservedRevision } from '../checkers/check-revisions.js'
import { Caller } from '../harness/caller.js'
import { chatEndpoint, createChatLines, confirmationEndpoint, createConfirmationLines, createItemNames } from '../harness/batch-input.js'
import type { History } from '../harness/history.js'
import { waitForResults } from '../harness/wait-for-results.js'

/** An accepted batch, which the system also calls a job. */
export interface AcceptedJob {
  /** Id of the batch. */
  readonly job: string
  /** Names of its items. */
  readonly items: readonly string[]
  /** Model or service. */
  readonly subject: string
}

const chatLoops = 6
const confirmationLoops = 2
const tokensPerChat = 24
const itemsPerJob = 40
const maximumConfirmationAttempts = 3

/** Sends load to a cluster until it is stopped, and records accepted jobs and observed revisions. */
export class MixedLoad {
  readonly jobs: AcceptedJob[] = []
  readonly revisions: ObservedRevision[] = []
  readonly #caller: Caller
  readonly #loops: Array<Promise<void>> = []
  #stopped = false
  #counter = 0

  constructor (private readonly cluster: Cluster, history: History) {
    this.#caller = new Caller({ addresses: () => cluster.callerAddresses(), key: sample.stylist.key, history })
  }

  start (): void {
    for (let index = 0; index < chatLoops; index++) {
      this.#loops.push(this.#repeat(async () => { await this.#caller.chat(`slot ${this.#nextNumber()}`, tokensPerChat) }, 30))
    }
    for (let index = 0; index < confirmationLoops; index++) {
      this.#loops.push(this.#repeat(async () => { await this.#sendConfirmation() }, 100))
    }
    this.#loops.push(this.#repeat(async () => { await this.#submitJob() }, 1_500))
    this.#loops.push(this.#repeat(async () => { await this.#editPlan() }, 700))
    for (const entry of this.cluster.processesOfKind(MemberKind.Entry)) {
      this.#loops.push(this.#repeat(async () => { await this.#recordRevision(entry.memberName, entry.addresses['operator'] ?? '') }, 50))
    }
  }

  /** Stops sending and waits for the operations in flight. */
  async stop (): Promise<void> {
    this.#stopped = true
    await Promise.all(this.#loops)
  }

  /** Waits until all accepted jobs have ended and returns their results. */
  async results (): Promise<readonly JobResults[]> {
    const results: JobResults[] = []
    for (const { job, items } of this.jobs) {
      results.push(await waitForResults(this.#caller, job, items))
    }
    return results
  }

  async #repeat (action: () => Promise<void>, pauseMilliseconds: number): Promise<void> {
    while (!this.#stopped) {
      try {
        await action()
      } catch {
        // Requests may fail while faults are injected; the history and the lists of this class hold what is checked.
      }
      await sleep(pauseMilliseconds)
    }
  }

  #nextNumber (): number {
    this.#counter += 1
    return this.#counter
  }

  /** Sends a confirmation and retries it with the same idempotency key until it succeeds or the attempts are used up. */
  async #sendConfirmation (): Promise<void> {
    const key = `key-${this.#nextNumber()}`
    for (let attempt = 0; attempt < maximumConfirmationAttempts; attempt++) {
      const response = await this.#caller.sendConfirmation(key)
      if (response.status === 200) {
        return
      }
      await sleep(50)
    }
  }

  /** Submits a job and retries with the same idempotency key until it is accepted. */
  async #submitJob (): Promise<void> {
    const number = this.#nextNumber()
    const isNonIdempotent = number % 3 === 0
    const items = createItemNames(`job-${number}`, itemsPerJob)
    const lines = isNonIdempotent ? createConfirmationLines(items) : createChatLines(items, tokensPerChat)
    let job: string | null = null
    await waitUntil('a job is accepted', async () => {
      const file = await this.#caller.upload(lines)
      await waitUntil('the job is created', async () => {
        const batch = await this.#caller.createBatch(file, isNonIdempotent ? confirmationEndpoint : chatEndpoint, `job-${number}`)
        job = String(batch['id'])
        return true
      })
      return true
    })
    if (job !== null) {
      this.jobs.push({ job, items, subject: isNonIdempotent ? sample.confirmationService : sample.model })
    }
  }

  /** Changes the sample plan's request rate through one of the first two running entries. */
  async #editPlan (): Promise<void> {
    const address = this.cluster.operatorAddress(this.#nextNumber() % 2)
    const headers = { authorization: `Bearer ${sample.operator.key}` }
    const list = await (await fetch(`http://${address}/admin/lists/usage`, { headers: { ...headers, accept: 'application/json' } })).json() as {
      readonly sections: ReadonlyArray<{ readonly name: string, readonly body: string, readonly revision: number }>
    }
    const plan = list.sections.find(section => section.name === 'plan standard')
    const body = plan?.body.replace(/requests-per-minute = \d+/, `requests-per-minute = ${6_000_000 + this.#nextNumber()}`)
    const response = await fetch(`http://${address}/admin/lists/usage/edits`, {
      method: 'POST',
      headers: { ...headers, 'content-type': 'application/json' },
      body: JSON.stringify({ sections: [{ section: 'plan standard', base: plan?.revision, body }] })
    })
    await response.text()
  }

  /**
   * Records the revision of the plans list that an entry reports. A restarted entry has a new address; the fallback
   * address, from the start of the load, applies if the entry has reported none.
   */
  async #recordRevision (entryName: string, fallbackAddress: string): Promise<void> {
    const currentAddress = this.cluster.processesOfKind(MemberKind.Entry).find(entry => entry.memberName === entryName)?.addresses['operator'] ?? fallbackAddress
    const response = await fetch(`http://${currentAddress}/admin/lists/plans`, {
      headers: { authorization: `Bearer ${sample.operator.key}` },
      signal: AbortSignal.timeout(5_000)
    })
    await response.text()
    const revision = Number(response.headers.get('etag')?.replaceAll('"', '') ?? NaN)
    if (!Number.isNaN(revision)) {
      this.revisions.push({ process: entryName, revision, at: Date.now() })
    }
  }
}

/** HTTP client for the instance list. */
import { Agent } from 'undici'
import tsResults from 'ts-results'
import type { Result } from 'ts-results'
import { z } from 'zod'
import { fetchJson } from '../util/fetch-json.js'
import { InstanceListError, MemberKind, MemberState } from './instance-list.js'
import type { InstanceList, Member } from './instance-list.js'

const { Ok, Err } = tsResults

/** Options of {@link createHttpInstanceList}. */
export interface HttpInstanceListOptions {
  /** Address of the instance list as `ip:port`. */
  readonly address: string
  readonly timeoutMilliseconds?: number
}

const defaultTimeoutMilliseconds = 2_000

const listSchema = z.object({
  instances: z.array(z.object({
    id: z.string(),
    kind: z.enum(MemberKind),
    address: z.string(),
    zone: z.string(),
    state: z.enum(MemberState)
  }))
})

/** Creates a client for the instance list. */
export function createHttpInstanceList (options: HttpInstanceListOptions): InstanceList {
  return new HttpInstanceList(options.address, options.timeoutMilliseconds ?? defaultTimeoutMilliseconds)
}

class HttpInstanceList implements InstanceList {
  readonly #agent = new Agent()

  constructor (private readonly address: string, private readonly timeoutMilliseconds: number) {}

  async fetch (): Promise<Result<readonly Member[], InstanceListError>> {
    const url = `http://${this.address}/instances`
    try {
      return Ok(listSchema.parse(await fetchJson(url, this.#agent, this.timeoutMilliseconds)).instances)
    } catch (error) {
      const message = error instanceof Error ? error.message : String(error)
      return Err(new InstanceListError(message, { cause: error }))
    }
  }

  async close (): Promise<void> {
    await this.#agent.destroy()
  }
}

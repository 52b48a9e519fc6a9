/** Stand-in for the platform's instance list, whose readers see changes with a delay. */
import type { Member } from '@arbutusloft/adapters'
import { readJson, sendJson, serve } from '../util/serve.js'
import type { StandIn } from '../util/stand-in.js'

/** Options of {@link startInstanceListStandIn}. */
export interface InstanceListStandInOptions {
  readonly port?: number
  /** Delay until readers see a change, in milliseconds. */
  readonly lagMilliseconds?: number
}

/** A running instance list stand-in. */
export interface InstanceListStandIn extends StandIn {
  /** Adds or replaces a member, as the platform's supervisor does. */
  put: (member: Member) => void
  /** Removes a member. */
  remove: (id: string) => void
}

interface ListVersion {
  /** Time of the change, in milliseconds since the epoch. */
  readonly at: number
  readonly members: ReadonlyMap<string, Member>
}

/** Starts an instance list stand-in. */
export async function startInstanceListStandIn (options: InstanceListStandInOptions = {}): Promise<InstanceListStandIn> {
  const list = new InstanceListServer(options.lagMilliseconds ?? 0)
  await list.start(options.port ?? 0)
  return list
}

class InstanceListServer implements InstanceListStandIn {
  #versions: ListVersion[] = [{ at: 0, members: new Map() }]
  #standIn: StandIn | null = null

  constructor (private readonly lagMilliseconds: number) {}

  get address (): string {
    return this.#standIn?.address ?? ''
  }

  async start (port: number): Promise<void> {
    this.#standIn = await serve(port, application => {
      application.get('/instances', (_request, response) => {
        sendJson(response, { instances: [...this.#visibleMembers().values()] })
      })
      application.put('/instances/:id', async (request, response) => {
        this.put(await readJson(request) as unknown as Member)
        sendJson(response, {})
      })
      application.delete('/instances/:id', (request, response) => {
        this.remove(request.params['id'] as string)
        sendJson(response, {})
      })
    })
  }

  put (member: Member): void {
    this.#addVersion(members => { members.set(member.id, member) })
  }

  remove (id: string): void {
    this.#addVersion(members => { members.delete(id) })
  }

  async close (): Promise<void> {
    await this.#standIn?.close()
  }

  #addVersion (change: (members: Map<string, Member>) => void): void {
    const members = new Map(this.#versions.at(-1)?.members)
    change(members)
    this.#versions.push({ at: Date.now(), members })
    // Called only to drop the versions that are no longer needed.
    this.#visibleMembers()
  }

  /** Returns the members as of `lagMilliseconds` ago and drops the older versions. */
  #visibleMembers (): ReadonlyMap<string, Member> {
    const newestVisibleTime = Date.now() - this.lagMilliseconds
    const index = this.#versions.findLastIndex(version => version.at <= newestVisibleTime)
    this.#versions = this.#versions.slice(Math.max(0, index))
    return this.#versions[0]?.members ?? new Map<string, Member>()
  }
}

/** Stores the addresses of the fleet's processes in the log, so that a process can join when no seed address responds. */
import { isIPv4 } from 'node:net'
import type { KeyedTopic } from '../log/keyed-topic.js'
import { messageOf } from '@arbutusloft/protocol'
import type { Logger } from '../util/logger.js'
import type { Membership } from './membership.js'

/** Interval between reads while no other member is known. */
const searchIntervalMilliseconds = 8_000
/** Interval between reads otherwise; members tell each other of new ones sooner. */
const readIntervalMilliseconds = 60_000
/** Delay before a failed read or append is retried. */
const retryMilliseconds = 500

/** Periodically reads the stored addresses, passes them to {@link Membership} as seeds and adds this process's own address. */
export class MemberDirectory {
  #timer: NodeJS.Timeout | null = null
  #closed = false

  constructor (
    private readonly topic: KeyedTopic,
    private readonly membership: Membership,
    private readonly logger: Logger
  ) {}

  /** Starts the periodic reads in the background. */
  start (): void {
    void this.#refresh()
  }

  close (): void {
    this.#closed = true
    if (this.#timer !== null) {
      clearTimeout(this.#timer)
    }
  }

  async #refresh (): Promise<void> {
    let delay = searchIntervalMilliseconds
    try {
      const { records } = await this.topic.newest()
      const addresses = records.filter(({ key, value }) => value !== null && isIPv4(key)).map(record => record.key)
      this.membership.addSeeds(addresses)
      const { address, zone } = this.membership.self
      if (!addresses.includes(address)) {
        await this.topic.append([{ key: address, value: Buffer.from(zone) }], null)
      }
      if (this.membership.live().length > 1) {
        delay = readIntervalMilliseconds
      }
    } catch (error) {
      this.logger.debug('could not read or store member addresses', { error: messageOf(error) })
      delay = retryMilliseconds
    }
    if (!this.#closed) {
      this.#timer = setTimeout(() => { void this.#refresh() }, delay)
    }
  }
}

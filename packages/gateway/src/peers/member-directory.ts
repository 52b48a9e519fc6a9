/** Addresses of the fleet's processes, kept in the log for those that start when nobody answers. */
import type { KeyedTopic } from '../log/keyed-topic.js'
import { messageOf } from '@arbutusloft/protocol'
import type { Logger } from '../util/logger.js'
import type { Membership } from './membership.js'

/** Milliseconds between reads; new members also come by gossip. */
const readMilliseconds = 8_000
/** Milliseconds before a read that failed is repeated. */
const retryMilliseconds = 500

/** Reads the addresses now and then, and adds this process's own. */
export class MemberDirectory {
  #timer: NodeJS.Timeout | null = null
  #closed = false

  constructor (
    private readonly topic: KeyedTopic,
    private readonly membership: Membership,
    private readonly logger: Logger
  ) {}

  /** Begins to read; returns at once. */
  start (): void {
    void this.#run()
  }

  close (): void {
    this.#closed = true
    if (this.#timer !== null) {
      clearTimeout(this.#timer)
    }
  }

  async #run (): Promise<void> {
    let wait = readMilliseconds
    try {
      const { records } = await this.topic.newest()
      const addresses = records.filter(record => record.value !== null).map(record => record.key)
      this.membership.addSeeds(addresses)
      const { address, zone } = this.membership.self
      if (!addresses.includes(address)) {
        await this.topic.append([{ key: address, value: Buffer.from(zone) }], null)
      }
    } catch (error) {
      this.logger.debug('addresses of members not read', { error: messageOf(error) })
      wait = retryMilliseconds
    }
    if (!this.#closed) {
      this.#timer = setTimeout(() => { void this.#run() }, wait)
    }
  }
}

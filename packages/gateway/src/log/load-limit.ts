/** Limits how many topics a process loads at the same time. */
import PQueue from 'p-queue'
import type { KeyedTopic } from './keyed-topic.js'

/**
 * Makes the loads of several topics wait for each other: loads that share a slow link with many others would all take longer than the
 * time allowed for a response.
 */
export class LoadLimit {
  readonly #queue: PQueue

  /** @param count number of loads at the same time */
  constructor (count: number) {
    this.#queue = new PQueue({ concurrency: count })
  }

  /** Returns the topic with loads under this limit; reads from an offset and appends do not wait. */
  applyTo (topic: KeyedTopic): KeyedTopic {
    return {
      newest: async partial => await this.#queue.add(async () => await topic.newest(partial), { throwOnTimeout: true }),
      read: async (from, waitMilliseconds) => await topic.read(from, waitMilliseconds),
      append: async (records, expectedEnd) => await topic.append(records, expectedEnd)
    }
  }
}

/** Metrics of a process's links. */
import { Counter } from 'prom-client'
import type { Registry } from 'prom-client'

/** Counts messages and their bytes by direction. */
export class LinkMeter {
  readonly #messages: Counter
  readonly #bytes: Counter

  constructor (registry: Registry) {
    this.#messages = new Counter({
      name: 'arbutus_link_messages_total',
      help: 'Messages on links between processes',
      labelNames: ['direction'],
      registers: [registry]
    })
    this.#bytes = new Counter({
      name: 'arbutus_link_bytes_total',
      help: 'Bytes of messages on links between processes',
      labelNames: ['direction'],
      registers: [registry]
    })
  }

  /** Counts a message that was sent. */
  onSent (bytes: number): void {
    this.#messages.inc({ direction: 'sent' })
    this.#bytes.inc({ direction: 'sent' }, bytes)
  }

  /** Counts a message that was received. */
  onReceived (bytes: number): void {
    this.#messages.inc({ direction: 'received' })
    this.#bytes.inc({ direction: 'received' }, bytes)
  }
}

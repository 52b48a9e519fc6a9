/** Prometheus metrics of an entry. */
import { Counter, Histogram } from 'prom-client'
import type { Registry } from 'prom-client'

/** Upper bounds of the histogram buckets, in seconds. */
const durationBucketBoundsSeconds = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60]

/** Counts requests and measures their duration. */
export class EntryMetrics {
  readonly #requests: Counter
  readonly #durations: Histogram

  constructor (registry: Registry) {
    this.#requests = new Counter({
      name: 'arbutus_requests_total',
      help: 'Requests answered, by route and status',
      labelNames: ['route', 'status'],
      registers: [registry]
    })
    this.#durations = new Histogram({
      name: 'arbutus_request_seconds',
      help: 'Time from a request to the end of its answer',
      labelNames: ['route'],
      buckets: durationBucketBoundsSeconds,
      registers: [registry]
    })
  }

  /** Records the end of a request. */
  onEnd (route: string, status: number, seconds: number): void {
    this.#requests.inc({ route, status: String(status) })
    this.#durations.observe({ route }, seconds)
  }
}

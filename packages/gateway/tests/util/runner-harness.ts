/** Runs items of one partition in process, with mocked timers, until their route is removed: they then finish as abandoned, without targets. */
import { once } from 'node:events'
import { mock } from 'node:test'
import { RefusalReason, RouteKind } from '@arbutusloft/policy'
import type { Route } from '@arbutusloft/policy'
import { GatewayMetrics, JobPartition, JobRunner, TargetConnections } from '../../src/index.js'
import type { JobItem, JobRunnerDependencies, KeyedTopic, PartitionListener } from '../../src/index.js'
import type { AcquireResult } from '../../src/permits/slot.js'
import { createTestLogger } from './test-logger.js'

const route = { name: 'r', host: 'h', kind: RouteKind.Batch, maxAttempts: 3, completionMilliseconds: 10_000, retentionMilliseconds: 600_000, services: [{ service: 's', weight: 1 }] } as unknown as Route
const names = { requestId: 'x-request-id', deadline: 'x-deadline', expectedTarget: 'x-expected', notExecuted: 'x-not-executed', targetLeaving: 'x-leaving', rateLimit: 'x-rate-limit', promptPrefix: 'x-prompt-prefix', resumes: 'x-resumes', wait: 'x-wait' }
const stepMilliseconds = 10

/** Returns a job with this number of items. */
export function submissionOf (id: string, items: number): { readonly id: string, readonly route: string, readonly items: readonly JobItem[] } {
  return { id, route: route.name, items: Array.from({ length: items }, (_, index) => ({ id: `${id}-${index}`, path: '/p', headers: [], body: Buffer.from('b'), tokens: 1 })) }
}

/** Lets the mocked time pass in steps, and what each step starts run. */
export async function advance (milliseconds: number): Promise<void> {
  for (let passed = 0; passed < milliseconds; passed += stepMilliseconds) {
    mock.timers.tick(stepMilliseconds)
    await turn()
  }
}

/** Lets everything run that needs no time. */
export async function turn (): Promise<void> {
  await new Promise(resolve => { setImmediate(resolve) })
}

/** Waits for a slot in vain. */
export async function acquire (_demand: unknown, signal: AbortSignal): Promise<AcquireResult> {
  if (!signal.aborted) {
    await once(signal, 'abort')
  }
  return { granted: false, reason: RefusalReason.Busy, retryAfter: 0 }
}

/** One instance that runs the items of a partition while it is active. */
export class RunnerHarness {
  readonly lines: string[] = []
  readonly metrics = new GatewayMetrics()
  readonly partition: JobPartition
  readonly runner: JobRunner
  readonly #listeners: PartitionListener[] = []
  readonly #connections = new TargetConnections()
  /** Whether items have a route; without one they finish. */
  hasRoute = true
  isActive = false

  constructor (topic: KeyedTopic, overrides: Partial<JobRunnerDependencies> = {}) {
    const logger = createTestLogger(this.lines)
    this.partition = new JobPartition(0, topic, logger)
    this.runner = new JobRunner({
      partitions: { onActiveChange: listener => { this.#listeners.push(listener) } },
      metrics: this.metrics,
      progress: { loadPartition: async () => new Map(), save: async () => {} },
      retentionMilliseconds: 600_000,
      slots: { acquire },
      connections: this.#connections,
      names,
      logger,
      routeOf: () => this.hasRoute ? route : null,
      refreshRoutes: async () => true,
      serviceOf: () => 's',
      ...overrides
    })
  }

  setActive (isActive: boolean): void {
    if (isActive !== this.isActive) {
      this.isActive = isActive
      this.#listeners.forEach(listener => { listener(this.partition, isActive) })
    }
  }

  /** Number of items of a job that have a result, as far as this instance knows. */
  finished (job: string): number {
    return this.partition.fold.get(job)?.finished.size ?? 0
  }

  /** Returns the log lines with this message. */
  linesOf (message: string): ReadonlyArray<Record<string, unknown>> {
    return this.lines.map(line => JSON.parse(line) as Record<string, unknown>).filter(line => line.message === message)
  }

  /** Returns the value of a counter with this label. */
  async count (name: string, label: string): Promise<number> {
    const text = await this.metrics.registry.getSingleMetricAsString(name)
    const line = text.split('\n').find(value => value.startsWith(`${name}{`) && value.includes(`="${label}"`))
    return Number(line?.split(' ').at(-1) ?? 0)
  }

  close (): void {
    this.runner.close()
    this.partition.close()
    this.#connections.close()
  }
}

/** Declares tests that run on a cluster of their own. */
import { test } from 'node:test'
import { sample, startCluster } from '@arbutusloft/development'
import { Caller } from './caller.js'
import type { Cluster, ClusterOptions } from '@arbutusloft/development'
import { History } from './history.js'

/** Fixtures of a test: its cluster, and a caller that records into the history. */
export interface ClusterTest {
  readonly cluster: Cluster
  readonly history: History
  readonly caller: Caller
}

const testTimeoutMilliseconds = 120_000

/** Declares a test that runs on a cluster started for it and closed after it. */
export function testOnCluster (name: string, options: ClusterOptions, body: (fixtures: ClusterTest) => Promise<void>): void {
  void test(name, { timeout: testTimeoutMilliseconds }, async () => {
    const cluster = await startCluster(options)
    const history = new History()
    const caller = new Caller({ addresses: () => cluster.callerAddresses(), key: sample.stylist.key, history })
    try {
      await body({ cluster, history, caller })
    } finally {
      await cluster.close()
    }
  })
}

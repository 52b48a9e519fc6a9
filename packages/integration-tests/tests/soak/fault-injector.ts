/** Injects random faults into a running cluster. A seed determines the sequence of random draws, not their timing. */
import { sleep } from '@arbutusloft/development'
import type { Cluster, RoleProcess } from '@arbutusloft/development'
import { MemberKind, MemberState } from '@arbutusloft/adapters'
import { ServiceMode } from '@arbutusloft/stand-ins'
import type { Random } from '@arbutusloft/stand-ins'

/** A kind of fault. */
interface Fault {
  readonly name: string
  /** Injects the fault, waits and ends it. Resolves with the kind of the affected process if the fault is counted per kind. */
  readonly inject: (cluster: Cluster, random: Random) => Promise<string | void>
}

const minimumFaultMilliseconds = 200
const maximumFaultMilliseconds = 2_500

async function waitForFaultDuration (random: Random): Promise<void> {
  await sleep(random.between(minimumFaultMilliseconds, maximumFaultMilliseconds))
}

/** Returns a random running process of whose kind another one runs, or null if there is none. */
function pickProcessWithRunningPeer (cluster: Cluster, random: Random): RoleProcess | null {
  // Leaves one running process of each kind, without which the system could not serve and nothing would be tested.
  const eligible = cluster.processes.filter(candidate => {
    return candidate.running && cluster.processesOfKind(candidate.kind).filter(peer => peer.running).length > 1
  })
  return eligible.length === 0 ? null : random.pick(eligible)
}

/** Every kind of fault that the soak test injects. The names are printed with their counts. */
const faults: readonly Fault[] = [
  {
    name: 'process killed and restarted',
    inject: async (cluster, random) => {
      const affected = pickProcessWithRunningPeer(cluster, random)
      await affected?.kill()
      await waitForFaultDuration(random)
      await affected?.restart()
      return affected?.kind
    }
  },
  {
    name: 'process paused',
    inject: async (cluster, random) => {
      const affected = pickProcessWithRunningPeer(cluster, random)
      affected?.signal('SIGSTOP')
      await waitForFaultDuration(random)
      affected?.signal('SIGCONT')
      return affected?.kind
    }
  },
  {
    name: 'log outage',
    inject: async (cluster, random) => {
      cluster.log.setFaults({ outage: true })
      await waitForFaultDuration(random)
      cluster.log.setFaults({ outage: false })
    }
  },
  {
    name: 'slow log',
    inject: async (cluster, random) => {
      cluster.log.setFaults({ delayMilliseconds: random.between(10, 300) })
      await waitForFaultDuration(random)
      cluster.log.setFaults({ delayMilliseconds: 0 })
    }
  },
  {
    name: 'lost append responses',
    inject: async (cluster, random) => { cluster.log.setFaults({ loseAnswers: random.between(1, 6) }) }
  },
  {
    name: 'connections of a target cut',
    inject: async (cluster, random) => { random.pick(cluster.engines).proxy.cut() }
  },
  {
    name: 'connections of a target unresponsive',
    inject: async (cluster, random) => { random.pick(cluster.engines).proxy.blackhole() }
  },
  {
    name: 'log connections of a process unresponsive',
    inject: async (cluster, random) => { random.pick(cluster.processes).logProxy.blackhole() }
  },
  {
    name: 'process disconnected from the log',
    inject: async (cluster, random) => {
      const affected = random.pick(cluster.processes)
      affected.logProxy.setRefusing(true)
      affected.logProxy.cut()
      await waitForFaultDuration(random)
      affected.logProxy.setRefusing(false)
    }
  },
  {
    name: 'target marked as leaving and live again',
    inject: async (cluster, random) => {
      const target = random.pick(cluster.engines)
      target.setState(MemberState.Leaving)
      await waitForFaultDuration(random)
      target.setState(MemberState.Live)
    }
  },
  {
    name: 'service connections closed after the calls ran',
    inject: async (cluster, random) => {
      cluster.service.setMode(ServiceMode.CutAfterRun)
      await sleep(random.between(20, 200))
      cluster.service.setMode(ServiceMode.Normal)
    }
  },
  {
    name: 'process drained and restarted',
    inject: async (cluster, random) => {
      const affected = pickProcessWithRunningPeer(cluster, random)
      if (affected !== null && affected.kind !== MemberKind.Entry) {
        await affected.drain()
        await affected.restart()
      }
    }
  }
]

/**
 * Injects faults until the given time in epoch milliseconds; returns how often each was drawn.
 * A drawn fault has no effect if no process is eligible for it.
 */
export async function injectFaults (
  cluster: Cluster,
  random: Random,
  endsAt: number
): Promise<ReadonlyMap<string, number>> {
  const counts = new Map<string, number>()
  // Two concurrent loops, so that two faults, of different kinds or of the same kind, can overlap. They share the random
  // draws, so the timing decides which loop gets which draw.
  const injectRepeatedly = async (): Promise<void> => {
    while (Date.now() < endsAt) {
      const fault = random.pick(faults)
      const kind = await fault.inject(cluster, random)
      const name = typeof kind === 'string' ? `${fault.name} (${kind})` : fault.name
      counts.set(name, (counts.get(name) ?? 0) + 1)
      await sleep(random.between(50, 800))
    }
  }
  await Promise.all([injectRepeatedly(), injectRepeatedly()])
  return counts
}

/**
 * Ends the faults that may still be active, and restarts processes that are down. Connections that were made unresponsive
 * stay so until their users time out; new connections work.
 */
export async function endFaults (cluster: Cluster): Promise<void> {
  cluster.log.setFaults({ outage: false, delayMilliseconds: 0, loseAnswers: 0 })
  cluster.service.setMode(ServiceMode.Normal)
  cluster.engines.forEach(engine => { engine.setState(MemberState.Live) })
  for (const candidate of cluster.processes) {
    candidate.logProxy.setRefusing(false)
    candidate.signal('SIGCONT')
    if (!candidate.running) {
      await candidate.restart()
    }
  }
}

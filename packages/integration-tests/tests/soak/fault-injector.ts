/** Random faults against a running cluster, from a seed. */
import { pause } from '@arbutusloft/development'
import type { Cluster, RoleProcess } from '@arbutusloft/development'
import { MemberKind, MemberState } from '@arbutusloft/adapters'
import { ServiceMode } from '@arbutusloft/stand-ins'
import type { Random } from '@arbutusloft/stand-ins'

/** One kind of fault: brings it about, waits, and ends it. */
interface Fault {
  readonly name: string
  /** Resolves with the kind of process that was hit, where it hits one. */
  readonly inject: (cluster: Cluster, random: Random) => Promise<string | void>
}

const shortest = 200
const longest = 2_500

async function hold (random: Random): Promise<void> {
  await pause(random.between(shortest, longest))
}

function pickRunning (cluster: Cluster, random: Random): RoleProcess | null {
  // One of each kind stays; with none left there would be nothing to test.
  const eligible = cluster.processes.filter(candidate => {
    return candidate.running && cluster.of(candidate.kind).filter(peer => peer.running).length > 1
  })
  return eligible.length === 0 ? null : random.pick(eligible)
}

/** Every kind of fault that the soak brings about. */
const faults: readonly Fault[] = [
  {
    name: 'kill a process and start it again',
    inject: async (cluster, random) => {
      const victim = pickRunning(cluster, random)
      await victim?.kill()
      await hold(random)
      await victim?.restart()
      return victim?.kind
    }
  },
  {
    name: 'pause a process',
    inject: async (cluster, random) => {
      const victim = pickRunning(cluster, random)
      victim?.signal('SIGSTOP')
      await hold(random)
      victim?.signal('SIGCONT')
      return victim?.kind
    }
  },
  {
    name: 'log outage',
    inject: async (cluster, random) => {
      cluster.log.setFaults({ outage: true })
      await hold(random)
      cluster.log.setFaults({ outage: false })
    }
  },
  {
    name: 'slow log',
    inject: async (cluster, random) => {
      cluster.log.setFaults({ delayMilliseconds: random.between(10, 300) })
      await hold(random)
      cluster.log.setFaults({ delayMilliseconds: 0 })
    }
  },
  {
    name: 'lost append answers',
    inject: async (cluster, random) => { cluster.log.setFaults({ loseAnswers: random.between(1, 6) }) }
  },
  {
    name: 'cut target connections',
    inject: async (cluster, random) => { random.pick(cluster.engines).proxy.cut() }
  },
  {
    name: 'silent target connections',
    inject: async (cluster, random) => { random.pick(cluster.engines).proxy.blackhole() }
  },
  {
    name: 'silent log connections of a process',
    inject: async (cluster, random) => { random.pick(cluster.processes).logLink.blackhole() }
  },
  {
    name: 'a process cut off from the log',
    inject: async (cluster, random) => {
      const victim = random.pick(cluster.processes)
      victim.logLink.setRefusing(true)
      victim.logLink.cut()
      await hold(random)
      victim.logLink.setRefusing(false)
    }
  },
  {
    name: 'a target leaves and comes back',
    inject: async (cluster, random) => {
      const target = random.pick(cluster.engines)
      target.setState(MemberState.Leaving)
      await hold(random)
      target.setState(MemberState.Live)
    }
  },
  {
    name: 'the service cuts calls after it ran them',
    inject: async (cluster, random) => {
      cluster.service.setMode(ServiceMode.CutAfterRun)
      await pause(random.between(20, 200))
      cluster.service.setMode(ServiceMode.Normal)
    }
  },
  {
    name: 'a process leaves gracefully and is replaced',
    inject: async (cluster, random) => {
      const victim = pickRunning(cluster, random)
      if (victim !== null && victim.kind !== MemberKind.Entry) {
        await victim.leave()
        await victim.restart()
      }
    }
  }
]

/** Injects faults until the time is over; returns how often each came. */
export async function injectFaults (
  cluster: Cluster,
  random: Random,
  until: number
): Promise<ReadonlyMap<string, number>> {
  const counts = new Map<string, number>()
  // Two lanes bring faults about side by side, so that they meet in pairs, and twice over.
  const lane = async (): Promise<void> => {
    while (Date.now() < until) {
      const fault = random.pick(faults)
      const kind = await fault.inject(cluster, random)
      const name = typeof kind === 'string' ? `${fault.name} (${kind})` : fault.name
      counts.set(name, (counts.get(name) ?? 0) + 1)
      await pause(random.between(50, 800))
    }
  }
  await Promise.all([lane(), lane()])
  return counts
}

/** Ends every fault that may still be on. */
export async function endFaults (cluster: Cluster): Promise<void> {
  cluster.log.setFaults({ outage: false, delayMilliseconds: 0, loseAnswers: 0 })
  cluster.service.setMode(ServiceMode.Normal)
  cluster.engines.forEach(engine => { engine.setState(MemberState.Live) })
  for (const candidate of cluster.processes) {
    candidate.logLink.setRefusing(false)
    candidate.signal('SIGCONT')
    if (!candidate.running) {
      await candidate.restart()
    }
  }
}

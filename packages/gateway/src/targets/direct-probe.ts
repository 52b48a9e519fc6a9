/** Tries the direct way to targets while this instance is cut off from them: clients are sent to others meanwhile, so that no request of theirs would. */
import { PathChangeKind } from '@arbutusloft/policy'
import type { TargetPaths } from '@arbutusloft/policy'
import { Alarm } from '../util/alarm.js'
import { sample } from '../util/sample.js'
import { connectDirectly } from './direct-transport.js'
import { TargetState } from './target-registry.js'
import type { TargetRegistry } from './target-registry.js'
import type { ConnectAttempt } from './transport.js'

const probeIntervalMilliseconds = 500

/** Connects to one target after the other, sends nothing, and records what happens. */
export class DirectProbe {
  readonly #alarm = new Alarm(now => this.#probe(now))
  #attempt: ConnectAttempt | null = null

  constructor (private readonly paths: TargetPaths, private readonly targets: TargetRegistry) {
    paths.onChange(({ kind }) => {
      if (kind === PathChangeKind.CutOff) {
        this.#alarm.setBy(Date.now() + probeIntervalMilliseconds)
      }
    })
  }

  close (): void {
    this.#alarm.close()
    this.#attempt?.cancel()
  }

  /** Makes an attempt unless a request has made one lately; returns when to check again. */
  #probe (now: number): number {
    const { paths, targets } = this
    if (!paths.isCutOff) {
      return Infinity
    }
    const [target] = sample(targets.all().filter(({ state }) => state === TargetState.Ready), 1)
    if (target !== undefined && paths.mayProbe(now)) {
      this.#attempt = connectDirectly(target.address, {
        onConnected: transport => {
          transport.destroy()
          paths.recordDirectSuccess(target.id, Date.now())
        },
        onFailed: () => { paths.recordDirectFailure(target.id, targets.size, Date.now()) }
      })
    }
    return now + probeIntervalMilliseconds
  }
}

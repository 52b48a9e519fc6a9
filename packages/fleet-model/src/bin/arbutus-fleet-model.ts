#!/usr/bin/env node
/** Command-line program that plays loads against admission policies and prints what callers get. */
import { Builtins, Cli, Command, Option } from 'clipanion'
import { estimate, playSeeds } from '../compare-policies.js'
import type { FleetLoad } from '../fleet-load.js'
import type { FleetOutcome } from '../fleet-outcome.js'
import { fleetLoads } from '../loads.js'
import { policies } from '../policies/index.js'

const usageExitCode = 2
const percent = 100

/** Columns of the table: a heading, and the figure in percent or milliseconds. */
const columns: ReadonlyArray<readonly [string, (outcome: FleetOutcome) => number]> = [
  ['worth', outcome => percent * outcome.worth],
  ['windows', outcome => percent * outcome.worstWindows],
  ['online', outcome => percent * outcome.onlineWorth],
  ['in time', outcome => percent * outcome.online.inTime / outcome.onlineRequests],
  ['returned', outcome => percent * outcome.online.inTimeOnReturn / outcome.onlineRequests],
  ['late', outcome => percent * outcome.online.late / outcome.onlineRequests],
  ['refused', outcome => percent * outcome.online.refused / outcome.onlineRequests],
  ['given up', outcome => percent * outcome.online.givenUp / outcome.onlineRequests],
  ['beside cuts', outcome => percent * outcome.inTimeBesideCuts / Math.max(1, outcome.requestsBesideCuts)],
  ['items in time', outcome => percent * outcome.itemsInTime / outcome.items],
  ['items late', outcome => percent * outcome.itemsLate / outcome.items],
  ['revocations', outcome => outcome.revocations / outcome.items],
  ['p99 ms', outcome => outcome.firstEventP99]
]
const columnWidth = 14

class ModelCommand extends Command {
  static override paths = [Command.Default]
  static override usage = Command.Usage({ description: 'Play a load, or all loads, against all admission policies, and print means in percent with the half width of their 95% confidence intervals.' })

  readonly seeds = Option.String('--seeds', '20', { description: 'Number of seeds' })
  readonly load = Option.String({ name: 'load', required: false })

  async execute (): Promise<number> {
    const seeds = Number(this.seeds)
    const chosen = fleetLoads.filter(({ name }) => this.load === undefined || name === this.load)
    if (!Number.isInteger(seeds) || seeds < 1 || chosen.length === 0) {
      this.context.stderr.write(`load "${this.load ?? ''}" with ${this.seeds} seeds: expected one of ${fleetLoads.map(({ name }) => name).join(', ')}, and a whole number of seeds above 0\n`)
      return usageExitCode
    }
    for (const load of chosen) {
      this.#play(load, seeds)
    }
    return 0
  }

  #play (load: FleetLoad, seeds: number): void {
    this.context.stdout.write(`\n${load.name}: ${load.description}\n${'policy'.padEnd(columnWidth)}${columns.map(([heading]) => heading.padStart(columnWidth)).join('')}\n`)
    for (const { name, create } of policies) {
      const outcomes = playSeeds(load, create, seeds)
      const figures = columns.map(([, figureOf]) => {
        const { mean, margin } = estimate(outcomes, figureOf)
        return `${mean.toFixed(1)} ±${margin.toFixed(1)}`.padStart(columnWidth)
      })
      this.context.stdout.write(`${name.padEnd(columnWidth)}${figures.join('')}\n`)
    }
  }
}

const cli = new Cli({ binaryName: 'arbutus-fleet-model' })
cli.register(ModelCommand)
cli.register(Builtins.HelpCommand)
process.exitCode = await cli.run(process.argv.slice(2))

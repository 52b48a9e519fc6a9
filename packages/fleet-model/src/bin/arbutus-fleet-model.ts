#!/usr/bin/env node
/** Command-line program that plays loads against admission policies and prints what callers get. */
import { Builtins, Cli, Command, Option } from 'clipanion'
import { estimate, playSeeds } from '../compare-policies.js'
import type { FleetLoad } from '../fleet-load.js'
import type { FleetOutcome } from '../fleet-outcome.js'
import { fleetLoads } from '../loads.js'
import type { NamedPolicy } from '../compare-policies.js'
import { policies } from '../policies/index.js'
import { speedPolicies, unequalLoad } from '../speeds/index.js'
import { zoneLoads, zonePolicies } from '../zones/index.js'

const usageExitCode = 2
const percent = 100
const bytesPerMegabyte = 1e6

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

/** Columns of the comparison on targets of unequal speed. */
const speedColumns: typeof columns = [
  ['p50 ms', outcome => outcome.firstEventP50],
  ['p99 ms', outcome => outcome.firstEventP99],
  ['in time', outcome => percent * outcome.online.inTime / outcome.onlineRequests],
  ['items in time', outcome => percent * outcome.itemsInTime / outcome.items],
  ['item ms', outcome => outcome.itemMean],
  ['worth', outcome => percent * outcome.worth]
]
/** Columns of the comparison of zones. */
const zoneColumns: typeof columns = [
  ['between, MB', outcome => outcome.crossZoneBytes / bytesPerMegabyte],
  ['between, %', outcome => percent * outcome.crossZoneShare],
  ...speedColumns
]
/** Shares of the capacity at which they are compared. */
const speedShares = [0.4, 0.6, 0.8, 0.95]

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
      print(load, policies, columns, seeds, this.context.stdout)
    }
    return 0
  }
}

class SpeedsCommand extends Command {
  static override paths = [['speeds']]
  static override usage = Command.Usage({ description: 'Compare ways to choose a target on targets of speeds 0.7, 0.7 and 1.7 with noise, at several shares of their capacity.' })

  readonly seeds = Option.String('--seeds', '6', { description: 'Number of seeds' })

  async execute (): Promise<number> {
    const seeds = Number(this.seeds)
    if (!Number.isInteger(seeds) || seeds < 1) {
      this.context.stderr.write(`${this.seeds} seeds: expected a whole number above 0\n`)
      return usageExitCode
    }
    for (const share of speedShares) {
      print(unequalLoad(share), speedPolicies, speedColumns, seeds, this.context.stdout)
    }
    return 0
  }
}

class ZonesCommand extends Command {
  static override paths = [['zones']]
  static override usage = Command.Usage({ description: 'Compare prices of traffic between availability zones with equal zones, with one short of targets and with one without any.' })

  readonly seeds = Option.String('--seeds', '6', { description: 'Number of seeds' })

  async execute (): Promise<number> {
    const seeds = Number(this.seeds)
    if (!Number.isInteger(seeds) || seeds < 1) {
      this.context.stderr.write(`${this.seeds} seeds: expected a whole number above 0\n`)
      return usageExitCode
    }
    for (const load of zoneLoads) {
      print(load, zonePolicies, zoneColumns, seeds, this.context.stdout)
    }
    return 0
  }
}

/** Plays a load with policies, and prints a table of means with the half width of their 95% confidence intervals. */
function print (load: FleetLoad, compared: readonly NamedPolicy[], shown: typeof columns, seeds: number, output: NodeJS.WritableStream): void {
  output.write(`\n${load.name}: ${load.description}\n${'policy'.padEnd(columnWidth)}${shown.map(([heading]) => heading.padStart(columnWidth)).join('')}\n`)
  for (const { name, create } of compared) {
    const outcomes = playSeeds(load, create, seeds)
    const figures = shown.map(([, figureOf]) => {
      const { mean, margin } = estimate(outcomes, figureOf)
      return `${mean.toFixed(1)} ±${margin.toFixed(1)}`.padStart(columnWidth)
    })
    output.write(`${name.padEnd(columnWidth)}${figures.join('')}\n`)
  }
}

const cli = new Cli({ binaryName: 'arbutus-fleet-model' })
cli.register(ModelCommand)
cli.register(SpeedsCommand)
cli.register(ZonesCommand)
cli.register(Builtins.HelpCommand)
process.exitCode = await cli.run(process.argv.slice(2))

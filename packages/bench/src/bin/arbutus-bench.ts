#!/usr/bin/env node
/** Command-line program that runs measurements and writes JSON reports. */
import { mkdir, writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { Builtins, Cli, Command, Option } from 'clipanion'
import { measurements } from '../measures/index.js'
import type { Measurement } from '../measures/measure.js'

const allMeasurements = 'all'
const usageExitCode = 2

class BenchCommand extends Command {
  static override paths = [Command.Default]
  static override usage = Command.Usage({ description: 'Run a measurement by its name, or every measurement with the name all.' })

  readonly list = Option.Boolean('--list', false, { description: 'Print the names and descriptions of the measurements' })
  readonly reportDirectory = Option.String('--report', 'report', { description: 'Directory to write JSON reports to' })
  readonly measurementName = Option.String({ name: 'name', required: false })

  async execute (): Promise<number> {
    if (this.list || this.measurementName === undefined) {
      measurements.forEach(measurement => { this.#print(`${measurement.name.padEnd(20)} ${measurement.description}`) })
      return this.list ? 0 : usageExitCode
    }
    const chosen = measurements.filter(measurement => this.measurementName === allMeasurements || measurement.name === this.measurementName)
    if (chosen.length === 0) {
      this.context.stderr.write(`unknown measurement "${this.measurementName}": expected one of ${measurements.map(measurement => measurement.name).join(', ')}, ${allMeasurements}\n`)
      return usageExitCode
    }
    for (const measurement of chosen) {
      await this.#run(measurement)
    }
    return 0
  }

  async #run (measurement: Measurement): Promise<void> {
    this.#print(`${measurement.name}: ${measurement.description}`)
    const result = await measurement.run(line => { this.#print(`  ${line}`) })
    await mkdir(this.reportDirectory, { recursive: true })
    const path = join(this.reportDirectory, `${measurement.name}.json`)
    await writeFile(path, JSON.stringify({ measure: measurement.name, at: new Date().toISOString(), result }, null, 2) + '\n')
    this.#print(`  report in ${path}`)
  }

  #print (line: string): void {
    this.context.stdout.write(`${line}\n`)
  }
}

const cli = new Cli({ binaryName: 'arbutus-bench' })
cli.register(BenchCommand)
cli.register(Builtins.HelpCommand)
process.exitCode = await cli.run(process.argv.slice(2))

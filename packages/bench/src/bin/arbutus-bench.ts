#!/usr/bin/env node
/** Command-line program that runs measurements and writes JSON reports. */
import { mkdir, writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { Builtins, Cli, Command, Option } from 'clipanion'
import { measures } from '../measures/index.js'
import type { Measure } from '../measures/measure.js'

const allMeasures = 'all'
const usageExitCode = 2

class BenchCommand extends Command {
  static override paths = [Command.Default]
  static override usage = Command.Usage({ description: 'Run a measurement by name, or all of them.' })

  readonly list = Option.Boolean('--list', false, { description: 'Print the names and descriptions of the measurements' })
  readonly reportDirectory = Option.String('--report', 'report', { description: 'Directory to write JSON reports to' })
  readonly measureName = Option.String({ name: 'name', required: false })

  async execute (): Promise<number> {
    if (this.list || this.measureName === undefined) {
      measures.forEach(measure => { this.#print(`${measure.name.padEnd(20)} ${measure.description}`) })
      return this.list ? 0 : usageExitCode
    }
    const chosen = measures.filter(measure => this.measureName === allMeasures || measure.name === this.measureName)
    if (chosen.length === 0) {
      this.context.stderr.write(`unknown measurement "${this.measureName}"; --list prints the known ones\n`)
      return usageExitCode
    }
    for (const measure of chosen) {
      await this.#run(measure)
    }
    return 0
  }

  async #run (measure: Measure): Promise<void> {
    this.#print(`${measure.name}: ${measure.description}`)
    const result = await measure.run(line => { this.#print(`  ${line}`) })
    await mkdir(this.reportDirectory, { recursive: true })
    const path = join(this.reportDirectory, `${measure.name}.json`)
    await writeFile(path, JSON.stringify({ measure: measure.name, at: new Date().toISOString(), result }, null, 2) + '\n')
    this.#print(`  report in ${path}`)
  }

  #print (line: string): void {
    this.context.stdout.write(`${line}\n`)
  }
}

const cli = new Cli({ binaryName: 'bench' })
cli.register(BenchCommand)
cli.register(Builtins.HelpCommand)
process.exitCode = await cli.run(process.argv.slice(2))

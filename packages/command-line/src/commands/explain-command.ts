/** The command `arbutus explain`. */
import { Command, Option } from 'clipanion'
import { CommandError } from '../command-error.js'
import { ExitCode } from '../exit-code.js'
import { HistoryCollector } from '../explain/history.js'
import type { History } from '../explain/history.js'
import type { LogLine } from '../explain/log-line.js'
import { classify, outcomeClasses } from '../explain/outcome-classes.js'
import { readLogLines } from '../explain/read-log-lines.js'
import { renderTable } from '../util/render-table.js'
import { BaseCommand } from './base-command.js'

const percent = 100
/** Ids that are named of each class. */
const exampleCount = 3

/** Explains from the logs of instances what became of requests and items. */
export class ExplainCommand extends BaseCommand {
  static override paths = [['explain']]
  static override usage = Command.Usage({
    category: 'Overview',
    description: 'Explain from the logs of instances what became of requests and batch items.',
    details: 'Reads files, and all files in folders. Without --id, counts how requests and items ended; with --id, prints all lines about a request, job or item in order of time, and what they mean.',
    examples: [['How requests ended, from the logs of all instances', 'arbutus explain logs/'], ['One request', 'arbutus explain logs/ --id e2ae628525b48e56']]
  })

  readonly id = Option.String('--id', { description: 'Id of a request, job or item' })
  readonly logs = Option.Rest({ required: 1, name: 'path' })

  protected async run (): Promise<number> {
    return this.id === undefined ? await this.#count() : await this.#explain(this.id)
  }

  async #count (): Promise<number> {
    const collector = new HistoryCollector()
    for await (const line of readLogLines(this.logs)) {
      collector.add(line)
    }
    const histories = collector.histories()
    const byClass = new Map<string, History[]>()
    for (const history of histories) {
      const name = classify(history)?.name ?? ''
      byClass.set(name, [...byClass.get(name) ?? [], history])
    }
    const classes = outcomeClasses.flatMap(({ name, meaning }) => {
      const members = byClass.get(name) ?? []
      return members.length === 0 ? [] : [{ class: name, count: members.length, meaning, examples: members.slice(0, exampleCount).map(({ id }) => id) }]
    })
    if (this.json) {
      this.printJson(classes)
      return ExitCode.Done
    }
    const rows = classes.map(({ class: name, count, meaning, examples }) => [name, String(count), (percent * count / histories.length).toFixed(1), meaning, examples.join(' ')])
    this.print(renderTable(['CLASS', 'COUNT', '%', 'MEANING', 'FOR EXAMPLE'], rows))
    return ExitCode.Done
  }

  async #explain (id: string): Promise<number> {
    const lines: LogLine[] = []
    const collector = new HistoryCollector()
    for await (const line of readLogLines(this.logs)) {
      if (Object.values(line.fields).includes(id)) {
        lines.push(line)
        collector.add(line)
      }
    }
    if (lines.length === 0) {
      throw new CommandError(ExitCode.Failed, `no line about "${id}" in ${this.logs.join(', ')}: expected the id of a request, job or item whose instance has written logs there; an instance that was lost has written nothing about what it was serving`)
    }
    lines.sort((left, right) => left.time < right.time ? -1 : Number(left.time > right.time))
    if (this.json) {
      this.printJson(lines)
      return ExitCode.Done
    }
    this.print(renderTable(['TIME', 'INSTANCE', 'MESSAGE', 'DETAILS'], lines.map(({ time, instance, message, fields }) => [time, instance, message, detailsOf(fields, id)])))
    for (const history of collector.histories()) {
      const { name, meaning } = classify(history) ?? { name: '', meaning: '' }
      this.print(`${history.id}: ${name}${meaning === '' ? '' : ` (${meaning})`}`)
    }
    return ExitCode.Done
  }
}

function detailsOf (fields: Readonly<Record<string, unknown>>, id: string): string {
  return Object.entries(fields).filter(([, value]) => value !== id && value !== '').map(([name, value]) => `${name}=${typeof value === 'object' ? JSON.stringify(value) : String(value)}`).join(' ')
}

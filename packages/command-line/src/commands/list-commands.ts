/** The commands `arbutus plans ...` and `arbutus usage ...`, which print, compare and publish the two lists. */
import { parseList, renderSections } from '@arbutusloft/configuration'
import type { RevisedSection } from '@arbutusloft/configuration'
import { ListName } from '@arbutusloft/protocol'
import { Command, Option } from 'clipanion'
import { createTwoFilesPatch } from 'diff'
import type { ApiClient } from '../api-client.js'
import { CommandError } from '../command-error.js'
import { ExitCode } from '../exit-code.js'
import { planEdits, renderRevisionLine, parseRevision } from '../plan-edits.js'
import type { EditPlan } from '../plan-edits.js'
import { readInput } from '../util/read-input.js'
import { OperatorCommand } from './base-command.js'

/** A list in force, in the response of the operator API. */
interface ListResponse {
  readonly revision: number
  readonly sections: readonly RevisedSection[]
}

const listNames: readonly string[] = Object.values(ListName)

function createPaths (verb: string): string[][] {
  return listNames.map(list => [list, verb])
}

abstract class ListCommand extends OperatorCommand {
  /** The list that the first word of the command names. */
  protected get list (): ListName {
    return this.path[0] === ListName.Plans ? ListName.Plans : ListName.Usage
  }

  protected async fetchList (client: ApiClient): Promise<ListResponse> {
    return await client.json<ListResponse>(`/admin/lists/${this.list}`)
  }

  /** Parses the file and computes the edits that publish it. Throws a {@link CommandError} if the file is invalid. */
  protected async planEditsOf (path: string, current: ListResponse): Promise<EditPlan> {
    const text = (await readInput(path)).toString('utf8')
    const parsed = parseList(this.list, text)
    if (parsed.err) {
      throw new CommandError(ExitCode.Refused, `${path} is not a valid ${this.list} list:\n${parsed.val.message}`)
    }
    return planEdits(current.sections, parsed.val, parseRevision(text))
  }
}

/** The commands `arbutus plans get` and `arbutus usage get`. */
export class GetListCommand extends ListCommand {
  static override paths = createPaths('get')
  static override usage = Command.Usage({ category: 'Lists', description: 'Print a list as INI, with its revision.' })

  protected async run (): Promise<number> {
    const list = await this.fetchList(this.createClient())
    if (this.json) {
      this.printJson(list)
    } else {
      this.context.stdout.write(renderRevisionLine(list.revision) + renderSections(list.sections))
    }
    return ExitCode.Done
  }
}

/** The commands `arbutus plans diff FILE` and `arbutus usage diff FILE`. */
export class DiffListCommand extends ListCommand {
  static override paths = createPaths('diff')
  static override usage = Command.Usage({ category: 'Lists', description: 'Show what publishing a file would change.' })
  readonly file = Option.String({ name: 'file' })

  protected async run (): Promise<number> {
    const current = await this.fetchList(this.createClient())
    const plan = await this.planEditsOf(this.file, current)
    if (this.json) {
      this.printJson(plan)
      return ExitCode.Done
    }
    for (const edit of plan.edits) {
      const before = current.sections.find(section => section.name === edit.section)?.body ?? ''
      this.print(createTwoFilesPatch(`[${edit.section}]`, `[${edit.section}]`, before + '\n', (edit.body ?? '') + '\n', 'in force', this.file))
    }
    plan.conflicts.forEach(section => { this.print(`conflict: [${section}] was changed since the file was got`) })
    return ExitCode.Done
  }
}

/** The commands `arbutus plans publish FILE` and `arbutus usage publish FILE`. */
export class PublishListCommand extends ListCommand {
  static override paths = createPaths('publish')
  static override usage = Command.Usage({
    category: 'Lists',
    description: 'Publish a file; rejected if it changes sections that somebody else has changed since "get" wrote it.'
  })

  readonly file = Option.String({ name: 'file' })

  protected async run (): Promise<number> {
    const client = this.createClient()
    const plan = await this.planEditsOf(this.file, await this.fetchList(client))
    if (plan.conflicts.length > 0) {
      const names = plan.conflicts.map(section => `[${section}]`).join(', ')
      throw new CommandError(ExitCode.Refused, `${names} changed since the file was got: get the list again and redo the edit`)
    }
    if (plan.edits.length === 0) {
      this.printResult({ changed: false, revision: null })
      return ExitCode.Done
    }
    this.printResult(await client.json(`/admin/lists/${this.list}/edits`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ sections: plan.edits })
    }))
    return ExitCode.Done
  }

  private printResult (result: { readonly changed: boolean, readonly revision: number | null }): void {
    if (this.json) {
      this.printJson(result)
    } else {
      this.print(result.changed ? `published; in force as revision ${result.revision ?? ''}` : 'nothing to change')
    }
  }
}

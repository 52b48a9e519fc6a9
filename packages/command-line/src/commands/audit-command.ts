/** The command `arbutus audit`. */
import type { AuditEntry } from '@arbutusloft/configuration'
import { Command, Option } from 'clipanion'
import { ExitCode } from '../exit-code.js'
import { renderTable } from '../util/render-table.js'
import { OperatorCommand } from './base-command.js'

/** Prints the accepted and rejected edits of both lists with their operators. */
export class AuditCommand extends OperatorCommand {
  static override paths = [['audit']]
  static override usage = Command.Usage({ category: 'Overview', description: 'Show accepted and rejected edits, oldest first.' })
  readonly limit = Option.String('--limit', '50', { description: 'Maximum number of entries; the newest are shown' })

  protected async run (): Promise<number> {
    const { entries } = await this.createClient().json<{ readonly entries: readonly AuditEntry[] }>(`/admin/audit?limit=${this.limit}`)
    if (this.json) {
      this.printJson(entries)
      return ExitCode.Done
    }
    const rows = entries.map(entry => [
      new Date(entry.time).toISOString(),
      entry.operator,
      entry.list,
      // A minus marks the removal of a section; the number after @ is the revision that the edit was based on.
      entry.sections.map(section => `${section.removed ? '-' : ''}[${section.section}]@${section.base}`).join(' '),
      entry.refusal === null ? `revision ${entry.revision ?? ''}` : `refused: ${entry.refusal}`
    ])
    this.print(renderTable(['TIME', 'OPERATOR', 'LIST', 'SECTIONS', 'OUTCOME'], rows))
    return ExitCode.Done
  }
}

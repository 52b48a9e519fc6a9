/** The command `arbutus targets`. */
import type { TargetLoad } from '@arbutusloft/protocol'
import { Command } from 'clipanion'
import { ExitCode } from '../exit-code.js'
import { renderTable } from '../util/render-table.js'
import { OperatorCommand } from './base-command.js'

/** One target in the response of the operator API. */
interface TargetView {
  readonly name: string
  /** Name of the model or service. */
  readonly serves: string
  readonly concurrency: number
  readonly address: string | null
  readonly zone: string | null
  readonly state: string
  readonly load: TargetLoad | null
}

/** Prints the targets with their state and load. */
export class TargetsCommand extends OperatorCommand {
  static override paths = [['targets']]
  static override usage = Command.Usage({ category: 'Overview', description: 'Show targets with their state and load.' })

  protected async run (): Promise<number> {
    const { targets } = await this.createClient().json<{ readonly targets: readonly TargetView[] }>('/admin/targets')
    if (this.json) {
      this.printJson(targets)
      return ExitCode.Done
    }
    const rows = targets.map(target => [
      target.name,
      target.serves,
      target.state,
      target.zone ?? '-',
      target.address ?? '-',
      target.load === null ? '-' : `${target.load.online}+${target.load.batch}/${target.concurrency}`,
      target.load === null ? '-' : String(target.load.waiting)
    ])
    this.print(renderTable(['TARGET', 'SERVES', 'STATE', 'ZONE', 'ADDRESS', 'ONLINE+BATCH', 'WAITING'], rows))
    return ExitCode.Done
  }
}

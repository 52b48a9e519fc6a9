/** The command `arbutus charges`. */
import type { Usage } from '@arbutusloft/protocol'
import { Command, Option } from 'clipanion'
import { ExitCode } from '../exit-code.js'
import { renderTable } from '../util/render-table.js'
import { OperatorCommand } from './base-command.js'

/** One charge in the response of the operator API. */
interface ChargeView {
  readonly client: string
  /** Name of the model or service. */
  readonly subject: string
  readonly usage: Usage
}

/** Prints the usage that clients are charged for. */
export class ChargesCommand extends OperatorCommand {
  static override paths = [['charges']]
  static override usage = Command.Usage({ category: 'Overview', description: 'Show charges by client and by model or service.' })
  readonly clientFilter = Option.String('--client', { description: 'Show only the charges of this client' })

  protected async run (): Promise<number> {
    const query = this.clientFilter === undefined ? '' : `?client=${encodeURIComponent(this.clientFilter)}`
    const { charges } = await this.createClient().json<{ readonly charges: readonly ChargeView[] }>(`/admin/charges${query}`)
    if (this.json) {
      this.printJson(charges)
      return ExitCode.Done
    }
    const rows = charges.map(({ client, subject, usage }) => {
      return [client, subject, String(usage.requests), String(usage.promptTokens), String(usage.completionTokens)]
    })
    this.print(renderTable(['CLIENT', 'MODEL OR SERVICE', 'REQUESTS', 'PROMPT TOKENS', 'COMPLETION TOKENS'], rows))
    return ExitCode.Done
  }
}

/** The commands `arbutus jobs ...`, with which clients manage their jobs. A job is called a batch in the batch API. */
import { basename } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { createIdentifier } from '@arbutusloft/protocol'
import { Command, Option } from 'clipanion'
import { SingleBar } from 'cli-progress'
import { FormData } from 'undici'
import type { ApiClient } from '../api-client.js'
import { CommandError } from '../command-error.js'
import { ExitCode } from '../exit-code.js'
import { readInput } from '../util/read-input.js'
import { renderTable } from '../util/render-table.js'
import { CallerCommand } from './base-command.js'

/** A batch in the response of the batch API. */
interface Batch {
  readonly id: string
  readonly status: string
  readonly endpoint: string
  readonly output_file_id: string | null
  readonly error_file_id: string | null
  readonly request_counts: { readonly total: number, readonly completed: number, readonly failed: number }
}

const pollMilliseconds = 500
const inProgressStatus = 'in_progress'
const completedStatus = 'completed'

/** Base class of the commands for jobs. */
abstract class JobCommand extends CallerCommand {
  /** Polls a batch until it ends, with a progress bar on a terminal. Returns `ExitCode.Done` only if it completed without failed items. */
  protected async watchBatch (client: ApiClient, id: string): Promise<number> {
    const progress = this.#createProgress()
    let batch = await client.json<Batch>(`/v1/batches/${id}`)
    progress.begin(batch)
    while (batch.status === inProgressStatus) {
      await sleep(pollMilliseconds)
      batch = await client.json<Batch>(`/v1/batches/${id}`)
      progress.update(batch)
    }
    progress.end()
    this.printBatch(batch)
    return batch.status === completedStatus && batch.request_counts.failed === 0 ? ExitCode.Done : ExitCode.Failed
  }

  /** Prints the state of a batch. */
  protected printBatch (batch: Batch): void {
    if (this.json) {
      this.printJson(batch)
      return
    }
    const { total, completed, failed } = batch.request_counts
    this.print(`${batch.id}  ${batch.status}  ${completed} of ${total} completed, ${failed} failed`)
  }

  #createProgress (): Progress {
    const output = this.context.stdout as NodeJS.WriteStream
    return output.isTTY && !this.json ? new BarProgress() : noProgress
  }
}

interface Progress {
  begin: (batch: Batch) => void
  update: (batch: Batch) => void
  end: () => void
}

const noProgress: Progress = {
  begin: () => {},
  update: () => {},
  end: () => {}
}

class BarProgress implements Progress {
  readonly #bar = new SingleBar({ format: '{bar} {percentage}% | {value} of {total} | {eta_formatted} left' })

  begin (batch: Batch): void {
    this.#bar.start(batch.request_counts.total, countEndedItems(batch))
  }

  update (batch: Batch): void {
    this.#bar.update(countEndedItems(batch))
  }

  end (): void {
    this.#bar.stop()
  }
}

function countEndedItems (batch: Batch): number {
  return batch.request_counts.completed + batch.request_counts.failed
}

/** The command `arbutus jobs submit FILE`. */
export class SubmitJobCommand extends JobCommand {
  static override paths = [['jobs', 'submit']]
  static override usage = Command.Usage({ category: 'Batches', description: 'Upload a JSONL file and create a batch from it.' })
  readonly file = Option.String({ name: 'file' })
  readonly endpoint = Option.String('--endpoint', '/v1/chat/completions', { description: 'Path of the API that processes the items' })
  readonly window = Option.String('--window', '24h', { description: 'Time within which the batch should complete, such as 30m, 24h or 2d' })
  readonly idempotencyKey = Option.String('--idempotency-key', { description: 'Submitting again with the same key returns the same batch' })
  readonly wait = Option.Boolean('--wait', false, { description: 'Wait until the batch ends' })

  protected async run (): Promise<number> {
    const client = this.createClient()
    const form = new FormData()
    form.set('purpose', 'batch')
    form.set('file', new Blob([await readInput(this.file)]), basename(this.file))
    const file = await client.json<{ readonly id: string }>('/v1/files', { method: 'POST', body: form })
    const batch = await client.json<Batch>('/v1/batches', {
      method: 'POST',
      headers: { 'content-type': 'application/json', 'idempotency-key': this.idempotencyKey ?? createIdentifier('key') },
      body: JSON.stringify({ input_file_id: file.id, endpoint: this.endpoint, completion_window: this.window })
    })
    if (this.wait) {
      return await this.watchBatch(client, batch.id)
    }
    this.printBatch(batch)
    return ExitCode.Done
  }
}

/** The command `arbutus jobs list`, also `arbutus jobs`. */
export class ListJobsCommand extends JobCommand {
  static override paths = [['jobs', 'list'], ['jobs']]
  static override usage = Command.Usage({ category: 'Batches', description: 'List your batches, newest first.' })
  readonly limit = Option.String('--limit', '20', { description: 'Maximum number of batches' })

  protected async run (): Promise<number> {
    const { data } = await this.createClient().json<{ readonly data: readonly Batch[] }>(`/v1/batches?limit=${this.limit}`)
    if (this.json) {
      this.printJson(data)
      return ExitCode.Done
    }
    const rows = data.map(batch => {
      const { total, failed } = batch.request_counts
      return [batch.id, batch.status, `${countEndedItems(batch)}/${total}`, String(failed), batch.endpoint]
    })
    this.print(renderTable(['BATCH', 'STATUS', 'ENDED', 'FAILED', 'ENDPOINT'], rows))
    return ExitCode.Done
  }
}

/** The command `arbutus jobs watch BATCH`. */
export class WatchJobCommand extends JobCommand {
  static override paths = [['jobs', 'watch']]
  static override usage = Command.Usage({ category: 'Batches', description: 'Wait until a batch ends; exits with 1 unless it completed without failed items.' })
  readonly batch = Option.String({ name: 'batch' })

  protected async run (): Promise<number> {
    return await this.watchBatch(this.createClient(), this.batch)
  }
}

/** The command `arbutus jobs cancel BATCH`. */
export class CancelJobCommand extends JobCommand {
  static override paths = [['jobs', 'cancel']]
  static override usage = Command.Usage({ category: 'Batches', description: 'Cancel a batch; the results of completed items stay available.' })
  readonly batch = Option.String({ name: 'batch' })

  protected async run (): Promise<number> {
    this.printBatch(await this.createClient().json<Batch>(`/v1/batches/${this.batch}/cancel`, { method: 'POST' }))
    return ExitCode.Done
  }
}

/** The command `arbutus jobs results BATCH`. */
export class JobResultsCommand extends JobCommand {
  static override paths = [['jobs', 'results']]
  static override usage = Command.Usage({ category: 'Batches', description: 'Print the output file or the error file of a batch.' })
  readonly batch = Option.String({ name: 'batch' })
  readonly errors = Option.Boolean('--errors', false, { description: 'Print the error file instead of the output file' })

  protected async run (): Promise<number> {
    const client = this.createClient()
    const batch = await client.json<Batch>(`/v1/batches/${this.batch}`)
    const file = this.errors ? batch.error_file_id : batch.output_file_id
    if (file === null) {
      throw new CommandError(ExitCode.Refused, `batch ${this.batch} (status ${batch.status}) has no ${this.errors ? 'error' : 'output'} file`)
    }
    this.context.stdout.write(await client.text(`/v1/files/${file}/content`))
    return ExitCode.Done
  }
}

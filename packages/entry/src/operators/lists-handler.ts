/** Operators' handlers of the two configuration lists, plans and usage, and of their audit trail. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { diffList, parseList, renderSections } from '@arbutusloft/configuration'
import type { AuditEntry, ConfigurationFold } from '@arbutusloft/configuration'
import type { LogWriter, StreamFollower } from '@arbutusloft/daemon'
import { createIdentifier, ListName, RecordType } from '@arbutusloft/protocol'
import type { ConfigurationEdited, SectionEdit } from '@arbutusloft/protocol'
import { z } from 'zod'
import { ApiError, ApiErrorType, invalidRequest, notFound, ExecutionOutcome } from '../http/api-error.js'
import { appendAndWait } from '../http/append-and-wait.js'
import { readBody, readJson } from '../http/read-body.js'
import { sendJson } from '../http/send-json.js'

/** Options of {@link ListsHandler}. */
export interface ListsHandlerOptions {
  readonly fold: ConfigurationFold
  readonly follower: StreamFollower
  /** Writer of the configuration stream. */
  readonly configuration: LogWriter
  /** Maximum size of a request body, in bytes. */
  readonly requestBytes: number
}

/** A request of an authenticated operator, and its response. */
export interface OperatorExchange {
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly parameters: Readonly<Record<string, string>>
  readonly query: URLSearchParams
  /** Name of the operator, for the audit trail. */
  readonly operator: string
}

const editSchema = z.object({
  sections: z.array(z.object({
    section: z.string().min(1),
    base: z.number().int().nonnegative(),
    body: z.string().nullable()
  })).min(1)
})

const defaultAuditEntries = 50

/** Shows and edits the configuration lists. */
export class ListsHandler {
  constructor (private readonly options: ListsHandlerOptions) {}

  /** Returns a list as INI text, or for `Accept: application/json` as sections with their revisions. */
  async get (exchange: OperatorExchange): Promise<void> {
    const list = listOf(exchange)
    const sections = this.options.fold.sections(list)
    exchange.response.setHeader('etag', `"${this.options.fold.revision}"`)
    if (exchange.request.headers.accept === 'application/json') {
      sendJson(exchange.response, { list, revision: this.options.fold.revision, sections })
      return
    }
    exchange.response.writeHead(200, { 'content-type': 'text/plain; charset=utf-8' })
    exchange.response.end(renderSections(sections))
  }

  /** Replaces a list by the INI text of the body, provided that `If-Match` names the configuration's revision, which `get` sends as `etag`. */
  async put (exchange: OperatorExchange): Promise<void> {
    const list = listOf(exchange)
    const text = (await readBody(exchange.request, this.options.requestBytes)).toString('utf8')
    this.#requireMatchingRevision(exchange)
    const parsed = parseList(list, text)
    if (parsed.err) {
      throw invalidRequest(parsed.val.message)
    }
    const edits = diffList(this.options.fold.sections(list), parsed.val)
    if (edits.length === 0) {
      sendJson(exchange.response, { revision: this.options.fold.revision, changed: false })
      return
    }
    await this.#publish(exchange, list, edits)
  }

  /** Edits single sections, provided that each still has the base revision of the edit. */
  async edit (exchange: OperatorExchange): Promise<void> {
    const list = listOf(exchange)
    const parsed = editSchema.safeParse(await readJson(exchange.request, this.options.requestBytes))
    if (!parsed.success) {
      throw invalidRequest(z.prettifyError(parsed.error))
    }
    await this.#publish(exchange, list, parsed.data.sections)
  }

  /** Returns the newest entries of the audit trail. */
  async audit (exchange: OperatorExchange): Promise<void> {
    const limit = Number(exchange.query.get('limit') ?? defaultAuditEntries)
    sendJson(exchange.response, { entries: this.options.fold.audit.slice(-limit) })
  }

  #requireMatchingRevision (exchange: OperatorExchange): void {
    const match = exchange.request.headers['if-match']
    if (match === undefined) {
      throw new ApiError(428, ApiErrorType.InvalidRequest, 'send the revision you edited in the header "If-Match"', { run: ExecutionOutcome.NotRun })
    }
    const revision = `"${this.options.fold.revision}"`
    if (match !== revision) {
      throw new ApiError(412, ApiErrorType.Conflict, `the lists are at revision ${revision}, not ${match}: get the list again and redo the edit`, { run: ExecutionOutcome.NotRun })
    }
  }

  async #publish (exchange: OperatorExchange, list: ListName, sections: readonly SectionEdit[]): Promise<void> {
    const record: ConfigurationEdited = {
      type: RecordType.ConfigurationEdited,
      edit: createIdentifier('edit'),
      list,
      operator: exchange.operator,
      sections
    }
    // The fold decides whether the edit is rejected. A rejected edit is in the log too, so the audit trail shows it.
    await appendAndWait(this.options.configuration, this.options.follower, [record])
    const entry = this.options.fold.findAuditEntry(record.edit)
    sendOutcome(exchange, entry)
  }
}

function sendOutcome (exchange: OperatorExchange, entry: AuditEntry | null): void {
  if (entry === null) {
    throw new ApiError(503, ApiErrorType.Unavailable, 'the edit was stored, but what came of it is not known yet; see the audit trail', { run: ExecutionOutcome.OutcomeUnknown })
  }
  if (entry.refusal !== null) {
    const stale = entry.sections.some(section => section.base !== section.present)
    const status = stale ? 409 : 422
    throw new ApiError(status, stale ? ApiErrorType.Conflict : ApiErrorType.InvalidRequest, entry.refusal, { run: ExecutionOutcome.NotRun })
  }
  sendJson(exchange.response, { revision: entry.revision, changed: true })
}

function listOf (exchange: OperatorExchange): ListName {
  const name = exchange.parameters['list'] ?? ''
  const list = Object.values(ListName).find(candidate => candidate === name)
  if (list === undefined) {
    throw notFound(`there is no list "${name}"; the lists are ${Object.values(ListName).join(' and ')}`)
  }
  return list
}

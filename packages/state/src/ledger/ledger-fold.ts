/** Fold of the ledger stream: online charges, and calls that may not be repeated. */
import { RecordType } from '@arbutusloft/protocol'
import type { CallAbandoned, CallCompleted, CallIntended, Charged, LogRecord } from '@arbutusloft/protocol'
import type { Fold, RecordContext } from '../fold.js'
import { ChargeTable } from '../util/charge-table.js'
import type { ChargeLine } from '../util/charge-table.js'
import type { CallState } from './call-state.js'

/** Milliseconds of log time for which a charge by a client's key is remembered. */
export const keyedChargeMilliseconds = 86_400_000

/**
 * Milliseconds of log time for which any other charge is remembered: long enough for the entry
 * and its guards, which all append it once the log can be reached.
 */
export const requestChargeMilliseconds = 3_600_000

/** Milliseconds of log time for which a call's idempotency key is remembered. */
export const callMilliseconds = 7 * 86_400_000

interface SerializedLedger {
  readonly charges: readonly ChargeLine[]
  readonly charged: ReadonlyArray<readonly [string, number]>
  readonly keyed: ReadonlyArray<readonly [string, number]>
  readonly calls: readonly CallState[]
}

/** The state of charges and calls. */
export class LedgerFold implements Fold {
  readonly #charges = new ChargeTable()
  /** Log times of charges by request, and of those by key. */
  #charged = new Map<string, number>()
  #keyed = new Map<string, number>()
  #calls = new Map<string, CallState>()

  get charges (): ChargeTable {
    return this.#charges
  }

  /** Number of calls whose outcome is not known. */
  get openCalls (): number {
    return [...this.#calls.values()].filter(call => call.answer === null).length
  }

  /** Whether a charge with this identifier has counted. */
  isCharged (client: string, charge: string): boolean {
    const key = chargeKeyOf(client, charge)
    return this.#charged.has(key) || this.#keyed.has(key)
  }

  /** The call that a key stands for, or null. */
  call (client: string, service: string, idempotencyKey: string): CallState | null {
    return this.#calls.get(callKeyOf({ client, service, idempotencyKey })) ?? null
  }

  apply (record: LogRecord, context: RecordContext): void {
    switch (record.type) {
      case RecordType.Charged:
        this.#charge(record, context)
        break
      case RecordType.CallIntended:
        this.#intend(record, context)
        break
      case RecordType.CallCompleted:
        this.#complete(record)
        break
      case RecordType.CallAbandoned:
        this.#abandon(record)
        break
      default:
        // Other streams' records say nothing about charges.
    }
  }

  prune (time: number): void {
    forgetBefore(this.#charged, time - requestChargeMilliseconds)
    forgetBefore(this.#keyed, time - keyedChargeMilliseconds)
    for (const [key, call] of this.#calls) {
      if (time - call.time > callMilliseconds) {
        this.#calls.delete(key)
      }
    }
  }

  serialize (): unknown {
    const serialized: SerializedLedger = {
      charges: this.#charges.lines(),
      charged: [...this.#charged],
      keyed: [...this.#keyed],
      calls: [...this.#calls.values()]
    }
    return serialized
  }

  restore (state: unknown): void {
    const serialized = state as SerializedLedger
    this.#charges.restore(serialized.charges)
    this.#charged = new Map(serialized.charged)
    this.#keyed = new Map(serialized.keyed)
    this.#calls = new Map(serialized.calls.map(call => [callKeyOf(call), call]))
  }

  #charge (record: Charged, context: RecordContext): void {
    if (this.isCharged(record.client, record.charge)) {
      return
    }
    const remembered = record.keyed ? this.#keyed : this.#charged
    remembered.set(chargeKeyOf(record.client, record.charge), context.time)
    this.#charges.add(record.client, record.subject, record.usage)
  }

  #intend (record: CallIntended, context: RecordContext): void {
    const key = callKeyOf(record)
    if (this.#calls.has(key)) {
      return
    }
    const { client, service, idempotencyKey, digest, attempt } = record
    this.#calls.set(key, { client, service, idempotencyKey, digest, attempt, answer: null, time: context.time })
  }

  #complete (record: CallCompleted): void {
    const key = callKeyOf(record)
    const call = this.#calls.get(key)
    if (call?.attempt !== record.attempt || call.answer !== null) {
      return
    }
    const { status, contentType, body } = record
    // Decoded bodies are views of a whole log entry; a copy lets the entry go.
    this.#calls.set(key, { ...call, answer: { status, contentType, body: Uint8Array.from(body) } })
    if (isSuccess(status)) {
      this.#charges.add(record.client, record.service, { requests: 1, promptTokens: 0, completionTokens: 0 })
    }
  }

  #abandon (record: CallAbandoned): void {
    const key = callKeyOf(record)
    const call = this.#calls.get(key)
    if (call?.attempt === record.attempt && call.answer === null) {
      this.#calls.delete(key)
    }
  }
}

/** Entries are in the order of log time, so the old ones come first. */
function forgetBefore (times: Map<string, number>, oldest: number): void {
  for (const [key, time] of times) {
    if (time >= oldest) {
      return
    }
    times.delete(key)
  }
}

function isSuccess (status: number): boolean {
  return status >= 200 && status < 300
}

function chargeKeyOf (client: string, charge: string): string {
  return `${client}\n${charge}`
}

function callKeyOf (call: Pick<CallState, 'client' | 'service' | 'idempotencyKey'>): string {
  return `${call.client}\n${call.service}\n${call.idempotencyKey}`
}

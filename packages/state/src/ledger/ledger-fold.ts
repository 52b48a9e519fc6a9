/** The fold of the ledger stream: charges for online requests, and non-idempotent calls. */
import { RecordType } from '@arbutusloft/protocol'
import type { CallAbandoned, CallCompleted, CallIntended, Charged, LogRecord } from '@arbutusloft/protocol'
import type { Fold, RecordContext } from '../fold.js'
import { ChargeTable } from '../util/charge-table.js'
import type { ChargeLine } from '../util/charge-table.js'
import type { CallState } from './call-state.js'

/** Milliseconds of log time for which a charge under a client's idempotency key is deduplicated. */
export const keyedChargeRetentionMilliseconds = 86_400_000

/**
 * Milliseconds of log time for which any other charge is deduplicated. The entry and the
 * schedulers that hold a backup of its reported records may each append the same charge once the
 * log is reachable again; the time must cover all of these copies.
 */
export const requestChargeRetentionMilliseconds = 3_600_000

/** Milliseconds of log time for which a call and its answer are kept under its idempotency key. */
export const callRetentionMilliseconds = 7 * 86_400_000

/** The snapshot form; its property names are part of the stored format. */
interface SerializedLedger {
  readonly charges: readonly ChargeLine[]
  /** Keys and log times of charges under a request identifier, oldest first. */
  readonly charged: ReadonlyArray<readonly [string, number]>
  /** Keys and log times of charges under a client's idempotency key, oldest first. */
  readonly keyed: ReadonlyArray<readonly [string, number]>
  readonly calls: readonly CallState[]
}

/** Sums charges by client, each charge once, and tracks the outcome of non-idempotent calls. */
export class LedgerFold implements Fold {
  readonly #charges = new ChargeTable()
  /** Log times of charges under a request identifier, oldest first. */
  #requestChargeTimes = new Map<string, number>()
  /** Log times of charges under a client's idempotency key, oldest first. */
  #keyedChargeTimes = new Map<string, number>()
  #calls = new Map<string, CallState>()

  get charges (): ChargeTable {
    return this.#charges
  }

  /** Number of calls whose outcome is unknown. */
  get unresolvedCalls (): number {
    return [...this.#calls.values()].filter(call => call.answer === null).length
  }

  /** Returns whether a charge of the client with this identifier has been counted and is still deduplicated. */
  isCharged (client: string, charge: string): boolean {
    const key = chargeKeyOf(client, charge)
    return this.#requestChargeTimes.has(key) || this.#keyedChargeTimes.has(key)
  }

  /** Returns the client's call to the service with this idempotency key, or null. */
  findCall (client: string, service: string, idempotencyKey: string): CallState | null {
    return this.#calls.get(callKeyOf({ client, service, idempotencyKey })) ?? null
  }

  apply (record: LogRecord, context: RecordContext): void {
    switch (record.type) {
      case RecordType.Charged:
        this.#recordCharge(record, context)
        break
      case RecordType.CallIntended:
        this.#recordIntent(record, context)
        break
      case RecordType.CallCompleted:
        this.#recordAnswer(record)
        break
      case RecordType.CallAbandoned:
        this.#withdrawIntent(record)
        break
      default:
        // Records of other streams do not change the ledger.
    }
  }

  prune (time: number): void {
    deleteOlderThan(this.#requestChargeTimes, time - requestChargeRetentionMilliseconds)
    deleteOlderThan(this.#keyedChargeTimes, time - keyedChargeRetentionMilliseconds)
    for (const [key, call] of this.#calls) {
      if (time - call.time > callRetentionMilliseconds) {
        this.#calls.delete(key)
      }
    }
  }

  serialize (): unknown {
    const serialized: SerializedLedger = {
      charges: this.#charges.lines(),
      charged: [...this.#requestChargeTimes],
      keyed: [...this.#keyedChargeTimes],
      calls: [...this.#calls.values()]
    }
    return serialized
  }

  restore (state: unknown): void {
    const serialized = state as SerializedLedger
    this.#charges.restore(serialized.charges)
    this.#requestChargeTimes = new Map(serialized.charged)
    this.#keyedChargeTimes = new Map(serialized.keyed)
    this.#calls = new Map(serialized.calls.map(call => [callKeyOf(call), call]))
  }

  #recordCharge (record: Charged, context: RecordContext): void {
    if (this.isCharged(record.client, record.charge)) {
      return
    }
    const chargeTimes = record.keyed ? this.#keyedChargeTimes : this.#requestChargeTimes
    chargeTimes.set(chargeKeyOf(record.client, record.charge), context.time)
    this.#charges.add(record.client, record.subject, record.usage)
  }

  #recordIntent (record: CallIntended, context: RecordContext): void {
    const key = callKeyOf(record)
    if (this.#calls.has(key)) {
      return
    }
    const { client, service, idempotencyKey, digest, attempt } = record
    this.#calls.set(key, { client, service, idempotencyKey, digest, attempt, answer: null, time: context.time })
  }

  #recordAnswer (record: CallCompleted): void {
    const key = callKeyOf(record)
    const call = this.#calls.get(key)
    if (call?.attempt !== record.attempt || call.answer !== null) {
      return
    }
    const { status, contentType, body } = record
    // A decoded body is a view of its whole log entry; a copy allows the entry to be garbage-collected.
    this.#calls.set(key, { ...call, answer: { status, contentType, body: Uint8Array.from(body) } })
    if (isSuccess(status)) {
      this.#charges.add(record.client, record.service, { requests: 1, promptTokens: 0, completionTokens: 0 })
    }
  }

  #withdrawIntent (record: CallAbandoned): void {
    const key = callKeyOf(record)
    const call = this.#calls.get(key)
    if (call?.attempt === record.attempt && call.answer === null) {
      this.#calls.delete(key)
    }
  }
}

/** Deletes the entries older than the given time. Entries are in the order of log time, so the scan stops at the first newer one. */
function deleteOlderThan (times: Map<string, number>, oldest: number): void {
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

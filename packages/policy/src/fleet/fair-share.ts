/**
 * Start-time fair queueing of client accounts: virtual times in tokens. Load: one account that floods, beside others whose requests would wait
 * behind its own in the order of arrival. See Goyal, Vin, Cheng: Start-time Fair Queueing, 1996.
 */
import type { SlotCaller } from './fleet-messages.js'

/** Requests of one account in one rank. */
export interface Flow {
  readonly rank: number
  readonly account: string
  /** Virtual time in tokens at which the account's last served request in this rank ends. */
  finish: number
  /** Progress of the pass that came to it last; kept here since a pass comes to it for each of its requests. */
  latest: FlowProgress | null
}

/** A flow as it is when the requests that a pass through the waiting ones has come to have been served. */
export interface FlowProgress {
  readonly pass: object
  readonly rank: number
  /** Virtual time at which the next request starts, in tokens. */
  start: number
  /** Requests that the account is owed; flows of one account share it. */
  readonly owed: { left: number }
}

/** Flows of one rank. */
interface RankFlows {
  /** Virtual time: the start of the request that was last served in turn. */
  virtualTime: number
  readonly flows: Map<string, Flow>
}

/** Returns the tokens that a request is charged; 1 if its holder has sent no valid number. */
export function costOf ({ tokens }: Pick<SlotCaller, 'tokens'>): number {
  return Number.isFinite(tokens) ? Math.max(1, tokens) : 1
}

/** Keeps the virtual times of accounts. All accounts have equal weights; each rank has a virtual time of its own. */
export class FairShare {
  readonly #ranks = new Map<number, RankFlows>()
  /** Tokens of reported slots of accounts that have no flow yet. */
  readonly #held = new Map<string, number>()

  /** Returns the flow of an account in a rank; a rank that is no number counts as the lowest. */
  flowOf (account: string, rank: number): Flow {
    const { virtualTime, flows } = this.#flowsOf(Number.isFinite(rank) ? rank : Number.MAX_VALUE)
    const known = flows.get(account)
    if (known !== undefined) {
      return known
    }
    const held = this.#held.get(account) ?? 0
    this.#held.delete(account)
    const flow = { rank: Number.isFinite(rank) ? rank : Number.MAX_VALUE, account, finish: virtualTime + held, latest: null }
    flows.set(account, flow)
    return flow
  }

  /** Returns the virtual time at which the next request of a flow starts. */
  startOf ({ rank, finish }: Flow): number {
    return Math.max(this.virtualTimeOf(rank), finish)
  }

  /** Returns the virtual time of a rank, at which requests of an account start that has not used its share. */
  virtualTimeOf (rank: number): number {
    return this.#ranks.get(rank)?.virtualTime ?? 0
  }

  /**
   * Charges a granted request to its flow.
   *
   * @param isInTurn whether no request of its rank with an earlier start was passed over; only then the virtual time goes on
   */
  recordServed (flow: Flow, tokens: number, isInTurn: boolean): void {
    const start = this.startOf(flow)
    flow.finish = start + tokens
    if (isInTurn) {
      this.#flowsOf(flow.rank).virtualTime = start
    }
  }

  /** Charges an account a slot that its holder has reported, and that another owner granted. */
  recordHeld (account: string, tokens: number): void {
    let isCharged = false
    for (const { flows } of this.#ranks.values()) {
      const flow = flows.get(account)
      if (flow !== undefined) {
        flow.finish = this.startOf(flow) + tokens
        isCharged = true
      }
    }
    if (!isCharged) {
      this.#held.set(account, (this.#held.get(account) ?? 0) + tokens)
    }
  }

  /** Removes the flows that start at the virtual time of their rank, as new ones do. Must not be called while their requests wait. */
  prune (): void {
    for (const { virtualTime, flows } of this.#ranks.values()) {
      for (const [account, { finish }] of flows) {
        if (finish <= virtualTime) {
          flows.delete(account)
        }
      }
    }
  }

  #flowsOf (rank: number): RankFlows {
    const known = this.#ranks.get(rank)
    if (known !== undefined) {
      return known
    }
    const created = { virtualTime: 0, flows: new Map<string, Flow>() }
    this.#ranks.set(rank, created)
    return created
  }
}

/** Requests for slots, as tests of the queues need them. */
import { WorkClass } from '@arbutusloft/protocol'
import type { SlotCaller, SlotRequest } from '../../src/index.js'

/** Returns an online request. */
export function onlineRequest (permit: string, overrides: Partial<SlotRequest> = {}): SlotRequest {
  return { permit, holder: 'h', workClass: WorkClass.Online, zone: 'a', prefix: [], digest: '', excluded: [], continues: null, patience: 1_000, spent: 0, latestReturn: 1_000, due: 0, ran: 0, sinceStart: 0, ...overrides }
}

/** Returns a batch item. */
export function itemRequest (permit: string, overrides: Partial<SlotRequest> = {}): SlotRequest {
  return onlineRequest(permit, { workClass: WorkClass.Batch, patience: 0, due: 20_000, ...overrides })
}

/** Returns a field of requests that names a client account. */
export function callerOf (account: string, rank = 0, tokens = 1): { readonly caller: SlotCaller } {
  return { caller: { account, rank, tokens, isCounted: false } }
}

/** Returns numbers from 0 to 1 that a seed determines (linear congruential generator of Numerical Recipes). */
export function randomNumbers (seed: number): () => number {
  let state = seed >>> 0
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0
    return state / 2 ** 32
  }
}

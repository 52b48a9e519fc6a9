/** Interface for calls to the platform's store. */
import type { ResponseObserver, TransferLimits } from '../util/buffered-call.js'

/** Limits of the response to a read, once it has begun: a page of a megabyte may share a slow link with other responses. */
export const readTransfer: TransferLimits = { totalMilliseconds: 5_000, pauseMilliseconds: 450 }

/** Outcome of a call to the store. */
export type StoreReply =
  | { readonly answered: true, readonly status: number, readonly body: Buffer }
  /** @property sent whether the call may have reached the store */
  | { readonly answered: false, readonly sent: boolean, readonly reason: string }

/** A way to call the store. */
export interface StoreConnection {
  /**
   * Makes a call; never rejects.
   *
   * @param timeoutMilliseconds time allowed for the response; that to a read need only begin within it, and may take longer while parts of it arrive
   * @param isUrgent whether a read may be sent several times at once, so that the first answer counts
   * @param observer follows the response of a call that is made once
   */
  call: (method: 'GET' | 'POST', path: string, body: Buffer | null, timeoutMilliseconds: number, isUrgent?: boolean, observer?: ResponseObserver) => Promise<StoreReply>
  close: () => Promise<void>
}

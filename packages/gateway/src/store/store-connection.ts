/** Interface for calls to the platform's store. */

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
   */
  call: (method: 'GET' | 'POST', path: string, body: Buffer | null, timeoutMilliseconds: number, isUrgent?: boolean) => Promise<StoreReply>
  close: () => Promise<void>
}

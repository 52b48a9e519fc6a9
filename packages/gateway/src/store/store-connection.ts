/** Calls to the platform's store, whatever way they take. */

/** What came of a call. */
export type StoreReply =
  | { readonly answered: true, readonly status: number, readonly body: Buffer }
  /** @property sent whether the call may have reached the store */
  | { readonly answered: false, readonly sent: boolean, readonly reason: string }

/** Makes calls; a reply never rejects. */
export interface StoreConnection {
  call: (method: 'GET' | 'POST', path: string, body: Buffer | null, timeoutMilliseconds: number) => Promise<StoreReply>
  close: () => Promise<void>
}

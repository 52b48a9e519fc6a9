/** Names of the headers that the gateway reads or sets; the platform's adapter provides them, in lower case. */
export interface HeaderNames {
  /** Identifies one try of a client; echoed by targets. */
  readonly requestId: string
  /** Milliseconds that the client, or the gateway on its behalf, will wait. */
  readonly deadline: string
  /** Id of the target that is meant; any other one refuses the request. */
  readonly expectedTarget: string
  /** Set on an answer that says that the target did not run the request. */
  readonly notExecuted: string
  /** The parts of the prompt, as ID:TOKENS entries with commas between them. */
  readonly promptPrefix: string
  /** Milliseconds that a caller lets a read of results wait for news. */
  readonly wait: string
}

/** Names, in lower case, of the headers that the gateway reads or sets; each platform integration defines its own. */
export interface HeaderNames {
  /** Id of one attempt of a client; targets return it in their responses. */
  readonly requestId: string
  /** Milliseconds that the sender waits for the response: the client for the gateway, or the gateway for a target. */
  readonly deadline: string
  /** Id of the target that a request is addressed to; any other target rejects the request. */
  readonly expectedTarget: string
  /** Present on a response that says that the target did not run the request. */
  readonly notExecuted: string
  /** Present on a target's response if the target leaves and must get no further requests soon. */
  readonly targetLeaving: string
  /** Requests a second that the target takes from all instances together, a decimal number; absent if it names no limit. */
  readonly rateLimit: string
  /** Parts of the prompt, as comma-separated ID:TOKENS entries. */
  readonly promptPrefix: string
  /** Id of the client's attempt that brought the first event of the stream which a request resumes. */
  readonly resumes: string
  /** Tokens of the prompt and maximum tokens of the output, as two numbers with a comma between them; left out if nobody names them. */
  readonly tokenCounts?: string
  /** Name of the client account, which the gateway tells a target; left out if targets are not told. */
  readonly account?: string
  /** Milliseconds that a read of batch results may wait for the first new result. */
  readonly wait: string
}

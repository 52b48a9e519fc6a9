/** What a piece of work used, in the units that a client is charged for. */
export interface Usage {
  /** Requests or items answered whole. */
  readonly requests: number
  /** Prompt tokens read. */
  readonly promptTokens: number
  /** Tokens generated. */
  readonly completionTokens: number
}

/** The usage of nothing. */
export const noUsage: Usage = { requests: 0, promptTokens: 0, completionTokens: 0 }

/** The sum of two usages. */
export function addUsage (left: Usage, right: Usage): Usage {
  return {
    requests: left.requests + right.requests,
    promptTokens: left.promptTokens + right.promptTokens,
    completionTokens: left.completionTokens + right.completionTokens
  }
}

/** Resources used, in the units by which a client is charged. */
export interface Usage {
  /** Online requests or batch items that were answered completely. */
  readonly requests: number
  /** Prompt tokens processed. */
  readonly promptTokens: number
  /** Completion tokens generated. */
  readonly completionTokens: number
}

/** Zero usage, the neutral element of {@link addUsage}. */
export const noUsage: Usage = { requests: 0, promptTokens: 0, completionTokens: 0 }

/** Returns the sum of two usages. */
export function addUsage (left: Usage, right: Usage): Usage {
  return {
    requests: left.requests + right.requests,
    promptTokens: left.promptTokens + right.promptTokens,
    completionTokens: left.completionTokens + right.completionTokens
  }
}

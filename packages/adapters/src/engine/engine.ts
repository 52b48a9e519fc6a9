/** Interface of model engines: generation, load reports, prefix cache events and orders. */
import type { Result } from 'ts-results'
import type { TargetError } from '../target-error.js'

/** HTTP paths of an engine that generate tokens. */
export const GenerationPath = {
  Chat: '/v1/chat/completions',
  Completion: '/v1/completions'
} as const

export type GenerationPath = typeof GenerationPath[keyof typeof GenerationPath]

/** Returns whether a path is one of the {@link GenerationPath}s. */
export function isGenerationPath (path: string): path is GenerationPath {
  return Object.values<string>(GenerationPath).includes(path)
}

/** A request to generate an answer. */
export interface GenerationRequest {
  /**
   * Identifier of this dispatch, that is, of this attempt to send the request to a target. The engine returns it in the
   * header `x-dispatch-id` and uses it as the identifier of the stream.
   */
  readonly dispatch: string
  readonly path: GenerationPath
  /** Request body in the OpenAI format. The client always requests a stream and overrides `stream` and `stream_options`. */
  readonly body: Readonly<Record<string, unknown>>
  readonly signal?: AbortSignal
}

/** A request to resume an interrupted stream. */
export interface ResumeRequest {
  /** Identifier of the dispatch that started the stream. */
  readonly dispatch: string
  /** Index of the first token to send. */
  readonly from: number
  readonly signal?: AbortSignal
}

/** One generated token. */
export interface GeneratedToken {
  /** Position in the answer, starting at 0. */
  readonly index: number
  readonly text: string
  /** Why generation ended, such as `stop` or `length`, on the last token; null on all others. */
  readonly finishReason: string | null
}

/** Token counts that the engine reports at the end of an answer. */
export interface GenerationUsage {
  readonly promptTokens: number
  readonly completionTokens: number
  /** Prompt tokens that were found in the prefix cache. */
  readonly cachedTokens: number
}

/** Receives the tokens of an answer as they arrive. */
export interface GenerationSink {
  onToken: (token: GeneratedToken) => void
}

/** Load that an engine reports; the report lags behind the real load. */
export interface EngineLoad {
  /** Number of requests that are running. */
  readonly running: number
  /** Number of requests that wait in the engine's queue. */
  readonly queued: number
  /** Epoch milliseconds, by the engine's clock, at which the load was measured. */
  readonly measuredAt: number
}

/** A change of an engine's prefix cache. */
export interface CacheEvent {
  /** Sequence number; increases by one with each event of an engine. */
  readonly sequence: number
  /** Whether the blocks were added to the cache, as opposed to removed from it. */
  readonly stored: boolean
  /** Hashes of blocks of the prompt; each hash covers the prompt up to the end of its block, as `prefixBlocks` computes them. */
  readonly blocks: readonly string[]
}

/** Kinds of orders, which change what an engine has loaded or how it runs. An adapter is a LoRA adapter. */
export const OrderKind = {
  LoadModel: 'load-model',
  LoadAdapter: 'load-adapter',
  SetVersion: 'set-version',
  SetRole: 'set-role'
} as const

export type OrderKind = typeof OrderKind[keyof typeof OrderKind]

/** An order to an engine. */
export interface EngineOrder {
  readonly kind: OrderKind
  /** Name of the model or LoRA adapter, version, or role, depending on the kind. */
  readonly value: string
  /**
   * Fencing token of the process that gives the order. It increases each time another process takes over giving orders;
   * engines reject a lower token than they have accepted.
   */
  readonly fencing: number
}

/** What an engine has loaded and how it runs, as changed by orders. */
export interface EngineState {
  readonly model: string
  /** Version that the last `SetVersion` order set. */
  readonly version: string
  /** Role that the last `SetRole` order set; not the role of a process. */
  readonly role: string
  /** Names of the loaded LoRA adapters. */
  readonly adapters: readonly string[]
  /** Highest fencing token that the engine has accepted. */
  readonly fencing: number
}

/** Client for model engines. One object serves all engines; each call takes the engine's address as `ip:port`. */
export interface Engine {
  /** Generates an answer; resolves when it is complete or has failed. */
  generate: (address: string, request: GenerationRequest, sink: GenerationSink) =>
  Promise<Result<GenerationUsage, TargetError>>
  /** Resumes an interrupted stream on a new connection. */
  resume: (address: string, request: ResumeRequest, sink: GenerationSink) =>
  Promise<Result<GenerationUsage, TargetError>>
  /** Stops a stream. Succeeds if the engine doesn't know the stream, because then it has ended already. */
  cancel: (address: string, dispatch: string) => Promise<Result<void, TargetError>>
  /** Returns the load that the engine reports. */
  load: (address: string) => Promise<Result<EngineLoad, TargetError>>
  /** Returns the prefix cache events from the sequence number `from` on. */
  cacheEvents: (address: string, from: number) => Promise<Result<readonly CacheEvent[], TargetError>>
  /** Gives an order and returns the state after it. */
  order: (address: string, order: EngineOrder) => Promise<Result<EngineState, TargetError>>
  /** Returns what the engine has loaded and how it runs. */
  state: (address: string) => Promise<Result<EngineState, TargetError>>
  close: () => Promise<void>
}

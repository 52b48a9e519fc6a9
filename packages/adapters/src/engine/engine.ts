/** Model engines as the system sees them. */
import type { Result } from 'ts-results'
import type { TargetError } from '../target-error.js'

/** Paths on which an engine generates. */
export const GenerationPath = {
  Chat: '/v1/chat/completions',
  Completion: '/v1/completions'
} as const

export type GenerationPath = typeof GenerationPath[keyof typeof GenerationPath]

/** Whether a path is one on which engines generate. */
export function isGenerationPath (path: string): path is GenerationPath {
  return Object.values<string>(GenerationPath).includes(path)
}

/** A request for generation. */
export interface GenerationRequest {
  /** Identifier of this dispatch, echoed by the engine. */
  readonly dispatch: string
  readonly path: GenerationPath
  /** OpenAI request body; the adapter asks for a stream whatever it says. */
  readonly body: Readonly<Record<string, unknown>>
  readonly signal?: AbortSignal
}

/** A request to go on with a stream that was cut. */
export interface ResumeRequest {
  readonly dispatch: string
  /** Index of the first token wanted. */
  readonly from: number
  readonly signal?: AbortSignal
}

/** One generated token. */
export interface GeneratedToken {
  /** Position in the answer, from 0. */
  readonly index: number
  readonly text: string
  /** Reason for the end on the last token, else null. */
  readonly finishReason: string | null
}

/** Counts that the engine reports at the end of an answer. */
export interface GenerationUsage {
  readonly promptTokens: number
  readonly completionTokens: number
  readonly cachedTokens: number
}

/** Receives the parts of an answer as they arrive. */
export interface GenerationSink {
  onToken: (token: GeneratedToken) => void
}

/** What an engine says of its own load, with a lag. */
export interface EngineLoad {
  readonly running: number
  readonly queued: number
  /** Epoch milliseconds of the engine at which the report was true. */
  readonly measuredAt: number
}

/** A change of an engine's prefix cache. */
export interface CacheEvent {
  readonly sequence: number
  readonly stored: boolean
  /** Hashes of the prompt blocks concerned. */
  readonly blocks: readonly string[]
}

/** Kinds of orders to an engine. */
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
  /** Model, adapter, version or role, by the order's kind. */
  readonly value: string
  /** Number that rises with every change of the ordering process. */
  readonly fencing: number
}

/** What an engine has loaded. */
export interface EngineState {
  readonly model: string
  readonly version: string
  readonly role: string
  readonly adapters: readonly string[]
  /** Highest fencing number that the engine has accepted. */
  readonly fencing: number
}

/** A model engine. One object serves all engines; calls name the address as `ip:port`. */
export interface Engine {
  /** Generates an answer and resolves when it is whole. */
  generate: (address: string, request: GenerationRequest, sink: GenerationSink) =>
  Promise<Result<GenerationUsage, TargetError>>
  /** Goes on with a stream on a new connection. */
  resume: (address: string, request: ResumeRequest, sink: GenerationSink) =>
  Promise<Result<GenerationUsage, TargetError>>
  /** Stops a stream; unknown streams are stopped already. */
  cancel: (address: string, dispatch: string) => Promise<Result<void, TargetError>>
  load: (address: string) => Promise<Result<EngineLoad, TargetError>>
  cacheEvents: (address: string, from: number) => Promise<Result<readonly CacheEvent[], TargetError>>
  order: (address: string, order: EngineOrder) => Promise<Result<EngineState, TargetError>>
  state: (address: string) => Promise<Result<EngineState, TargetError>>
  close: () => Promise<void>
}

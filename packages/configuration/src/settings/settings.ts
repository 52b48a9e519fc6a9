/** Settings of a process, read once at its start. */
import { z } from 'zod'
import { addressField, integerField, keyHashesField, numberField, textField } from '../ini/fields.js'

const greatestMilliseconds = 86_400_000

/** What a process is, and where. */
export interface InstanceSettings {
  readonly id: string
  readonly zone: string
}

/** Addresses on which a process listens; a role that lacks one it needs says so at its start. */
export interface ListenSettings {
  /** Callers, at an entry. */
  readonly caller: string | null
  /** Operators, at an entry. */
  readonly operator: string | null
  /** Links of other processes, at a scheduler. */
  readonly link: string | null
  /** Health and metrics. */
  readonly health: string | null
}

/** Addresses of what the platform gives. */
export interface PlatformSettings {
  readonly log: string
  readonly instanceList: string
  readonly weightStore: string | null
}

/** What links between processes prove. */
export interface LinkSettings {
  readonly secret: string
}

/** Bounds and periods. */
export interface LimitSettings {
  /** Appends a second that this process may make. */
  readonly appendsPerSecond: number
  /** Greatest entry of the log, in bytes. */
  readonly appendBytes: number
  /** Greatest request body, in bytes. */
  readonly requestBytes: number
  /** Greatest uploaded file, in bytes. */
  readonly fileBytes: number
  /** Greatest line of a batch input, in bytes. */
  readonly itemBytes: number
  /** Greatest number of items of a job. */
  readonly jobItems: number
  /** Greatest number of open caller connections. */
  readonly connections: number
  /** Tries of a batch item before it ends in the error file. */
  readonly itemAttempts: number
  /** Batch items in flight at once in a batch process. */
  readonly batchConcurrency: number
  /** Milliseconds for which callers keep an answer of `/v1/addresses`. */
  readonly addressMilliseconds: number
  /** Milliseconds that a request may wait for a target. */
  readonly patienceMilliseconds: number
  /** Milliseconds of silence of a target after which a stream counts as lost. */
  readonly silenceMilliseconds: number
  /** Milliseconds after which the log drops an entry. */
  readonly retentionMilliseconds: number
  /** Milliseconds between looks at the instance list. */
  readonly instanceListMilliseconds: number
  /** Milliseconds of silence in the log after which a job's owner counts as lost. */
  readonly ownerMilliseconds: number
}

/** An operator who may use the operators' address. */
export interface OperatorSettings {
  readonly name: string
  readonly keyHashes: readonly string[]
}

/** All settings of a process. */
export interface Settings {
  readonly instance: InstanceSettings
  readonly listen: ListenSettings
  readonly platform: PlatformSettings
  readonly link: LinkSettings
  readonly limits: LimitSettings
  readonly operators: readonly OperatorSettings[]
}

export const defaultLimits: LimitSettings = {
  appendsPerSecond: 20,
  appendBytes: 1_000_000,
  requestBytes: 1_048_576,
  fileBytes: 1_073_741_824,
  itemBytes: 262_144,
  jobItems: 250_000,
  connections: 4_000,
  itemAttempts: 4,
  batchConcurrency: 64,
  addressMilliseconds: 10_000,
  patienceMilliseconds: 5_000,
  silenceMilliseconds: 10_000,
  retentionMilliseconds: 3_600_000,
  instanceListMilliseconds: 500,
  ownerMilliseconds: 8_000
}

const leastSecretLength = 16

/** Schemas of the settings' sections. */
export const settingsSchemas = {
  instance: z.strictObject({
    id: textField,
    zone: textField
  }),
  listen: z.strictObject({
    caller: addressField.optional(),
    operator: addressField.optional(),
    link: addressField.optional(),
    health: addressField.optional()
  }),
  platform: z.strictObject({
    log: addressField,
    'instance-list': addressField,
    'weight-store': addressField.optional()
  }),
  link: z.strictObject({
    secret: z.string({ error: 'expected a text' })
      .min(leastSecretLength, `expected at least ${leastSecretLength} characters`)
  }),
  limits: z.strictObject({
    'appends-per-second': numberField(0.1, 1_000).default(defaultLimits.appendsPerSecond),
    'append-bytes': integerField(1_024, 67_108_864).default(defaultLimits.appendBytes),
    'request-bytes': integerField(1_024, 67_108_864).default(defaultLimits.requestBytes),
    'file-bytes': integerField(1_024, 10_737_418_240).default(defaultLimits.fileBytes),
    'item-bytes': integerField(256, 16_777_216).default(defaultLimits.itemBytes),
    'job-items': integerField(1, 1_000_000).default(defaultLimits.jobItems),
    connections: integerField(1, 1_000_000).default(defaultLimits.connections),
    'item-attempts': integerField(1, 100).default(defaultLimits.itemAttempts),
    'batch-concurrency': integerField(1, 10_000).default(defaultLimits.batchConcurrency),
    'address-milliseconds': integerField(100, greatestMilliseconds).default(defaultLimits.addressMilliseconds),
    'patience-milliseconds': integerField(1, greatestMilliseconds).default(defaultLimits.patienceMilliseconds),
    'silence-milliseconds': integerField(100, greatestMilliseconds).default(defaultLimits.silenceMilliseconds),
    'retention-milliseconds': integerField(1_000, 90 * greatestMilliseconds).default(defaultLimits.retentionMilliseconds),
    'instance-list-milliseconds': integerField(10, greatestMilliseconds).default(defaultLimits.instanceListMilliseconds),
    'owner-milliseconds': integerField(100, greatestMilliseconds).default(defaultLimits.ownerMilliseconds)
  }),
  operator: z.strictObject({
    'key-hashes': keyHashesField
  })
} as const

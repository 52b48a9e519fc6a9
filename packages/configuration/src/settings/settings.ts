/** Settings of a process, read once at startup. */
import { z } from 'zod'
import { addressField, integerField, keyHashesField, numberField, textField } from '../ini/fields.js'

const millisecondsPerDay = 86_400_000

/** Identity and location of a process. */
export interface InstanceSettings {
  readonly id: string
  readonly zone: string
}

/**
 * Addresses as `ip:port` on which a process listens, or null. Each role requires some of them; a process without
 * a required one fails at startup.
 */
export interface ListenSettings {
  /** Address for callers; used by entries. */
  readonly caller: string | null
  /** Address for operators; used by entries. */
  readonly operator: string | null
  /** Address for links from other processes; used by schedulers. */
  readonly link: string | null
  /** Address for health checks and metrics. */
  readonly health: string | null
}

/** Addresses as `ip:port` of the services that the platform provides. */
export interface PlatformSettings {
  readonly log: string
  readonly instanceList: string
  readonly weightStore: string | null
}

/** Authentication of links between processes. */
export interface LinkSettings {
  /** Shared secret that both ends of a link must know; it is never sent. */
  readonly secret: string
}

/** Limits, timeouts and periods. */
export interface LimitSettings {
  /** Maximum number of appends to the log that this process starts per second. */
  readonly appendsPerSecond: number
  /** Maximum size of a log entry, in bytes. */
  readonly appendBytes: number
  /** Maximum size of a request body, in bytes. */
  readonly requestBytes: number
  /** Maximum size of an uploaded file, in bytes. */
  readonly fileBytes: number
  /** Maximum size of one line of a batch input file, in bytes. */
  readonly itemBytes: number
  /** Maximum number of items of a batch job. */
  readonly jobItems: number
  /** Maximum number of open connections at the caller address. */
  readonly connections: number
  /** Maximum number of attempts at a batch item before it is written to the error file. */
  readonly itemAttempts: number
  /** Maximum number of batch items in flight in a batch process. */
  readonly batchConcurrency: number
  /** Milliseconds for which callers may cache a response of `/v1/addresses`. */
  readonly addressMilliseconds: number
  /** Maximum number of milliseconds that a request waits for a target. */
  readonly patienceMilliseconds: number
  /** Milliseconds without data from a target after which a stream or call fails. */
  readonly silenceMilliseconds: number
  /**
   * Milliseconds after which the log deletes an entry. Tells batch processes when to append chunks of files and results
   * again; it does not set the log's retention and must not exceed it.
   */
  readonly retentionMilliseconds: number
  /** Milliseconds between two reads of the instance list. */
  readonly instanceListMilliseconds: number
  /** Milliseconds without a heartbeat in the log after which another batch process may take over a job. */
  readonly ownerMilliseconds: number
}

/** An operator who may call the operator address. */
export interface OperatorSettings {
  readonly name: string
  /** Hashes of the operator's API keys. */
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

/** Limits of a process whose settings file leaves them out. */
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

const minimumSecretCharacters = 16

/** Schemas of the sections of a settings file. */
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
      .min(minimumSecretCharacters, `expected at least ${minimumSecretCharacters} characters`)
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
    'address-milliseconds': integerField(100, millisecondsPerDay).default(defaultLimits.addressMilliseconds),
    'patience-milliseconds': integerField(1, millisecondsPerDay).default(defaultLimits.patienceMilliseconds),
    'silence-milliseconds': integerField(100, millisecondsPerDay).default(defaultLimits.silenceMilliseconds),
    'retention-milliseconds': integerField(1_000, 90 * millisecondsPerDay).default(defaultLimits.retentionMilliseconds),
    'instance-list-milliseconds': integerField(10, millisecondsPerDay).default(defaultLimits.instanceListMilliseconds),
    'owner-milliseconds': integerField(100, millisecondsPerDay).default(defaultLimits.ownerMilliseconds)
  }),
  operator: z.strictObject({
    'key-hashes': keyHashesField
  })
} as const

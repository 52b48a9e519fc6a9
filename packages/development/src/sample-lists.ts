/** Plans list and usage list of the sample deployment. */
import { hashKey } from '@arbutusloft/configuration'

/** Names and keys of the sample deployment. */
export const sample = {
  /** Model that the engine stand-ins serve. */
  model: 'stylist-small',
  /** Service whose calls are non-idempotent. */
  confirmationService: 'confirmations',
  /** Service whose calls are idempotent. */
  catalogueService: 'catalogue',
  /** First sample client; tests and the demonstration send online requests with its key. */
  stylist: { client: 'beaubien', key: 'key-beaubien-development' },
  /** Second sample client; submits the batch of the demonstration. */
  bakery: { client: 'ocotlan', key: 'key-ocotlan-development' },
  operator: { name: 'operator', key: 'key-operator-development' },
  linkSecret: 'development-link-secret'
} as const

/** A target of the sample deployment; it serves either a model or a service. */
export interface SampleTarget {
  readonly name: string
  readonly model?: string
  readonly service?: string
  readonly concurrency: number
}

/** Returns the plans list: both sample clients with the plan `standard`. */
export function createSamplePlans (): string {
  return [sample.stylist, sample.bakery].map(({ client, key }) => {
    return `[client ${client}]\nplan = standard\nkey-hashes = ${hashKey(key)}\n`
  }).join('\n')
}

/** Returns the usage list: the plan, the model, the services and these targets. */
export function createSampleUsage (targets: readonly SampleTarget[]): string {
  const sections = [
    '[plan standard]\nrequests-per-minute = 6000000\ntokens-per-minute = 900000000\nconcurrency = 20000\n' +
      `models = ${sample.model}\nservices = ${sample.confirmationService}, ${sample.catalogueService}\n`,
    `[model ${sample.model}]\ncontext-tokens = 8192\n`,
    `[service ${sample.confirmationService}]\nrepeatable = false\n`,
    `[service ${sample.catalogueService}]\nrepeatable = true\n`,
    ...targets.map(target => {
      const serves = target.model === undefined ? `service = ${target.service ?? ''}` : `model = ${target.model}`
      return `[target ${target.name}]\n${serves}\nconcurrency = ${target.concurrency}\nchecks-fencing = true\n`
    })
  ]
  return sections.join('\n')
}

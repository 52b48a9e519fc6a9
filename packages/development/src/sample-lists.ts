/** Plans list and usage list of the sample deployment. */
import { hashKey } from '@arbutusloft/configuration'

/** Names and keys of the sample deployment. */
export const sample = {
  model: 'stylist-small',
  /** Service of non-idempotent calls. */
  service: 'confirmations',
  /** Service of idempotent calls. */
  lookupService: 'catalogue',
  stylist: { client: 'beaubien', key: 'key-beaubien-development' },
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
      `models = ${sample.model}\nservices = ${sample.service}, ${sample.lookupService}\n`,
    `[model ${sample.model}]\ncontext-tokens = 8192\n`,
    `[service ${sample.service}]\nrepeatable = false\n`,
    `[service ${sample.lookupService}]\nrepeatable = true\n`,
    ...targets.map(target => {
      const serves = target.model === undefined ? `service = ${target.service ?? ''}` : `model = ${target.model}`
      return `[target ${target.name}]\n${serves}\nconcurrency = ${target.concurrency}\nchecks-fencing = true\n`
    })
  ]
  return sections.join('\n')
}

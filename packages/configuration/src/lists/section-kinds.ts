/** Kinds of sections in the two lists, with the schemas of their values. */
import { ListName } from '@arbutusloft/protocol'
import { z } from 'zod'
import { booleanField, integerField, keyHashesField, namesField, numberField, textField } from '../ini/fields.js'
import type { Client, Model, Plan, Service, Target } from './configuration.js'

const maximumRatePerMinute = 1_000_000_000
const maximumConcurrency = 100_000
const maximumContextTokens = 10_000_000

/** Kinds of sections. A section header consists of the kind and a name, such as `[model stylist-small]`. */
export const SectionKind = {
  Client: 'client',
  Plan: 'plan',
  Model: 'model',
  Service: 'service',
  Target: 'target'
} as const

export type SectionKind = typeof SectionKind[keyof typeof SectionKind]

/**
 * Maps each kind of section to the list that contains it: the plans list assigns plans to clients; the usage list
 * defines the plans, models, services and targets.
 */
export const listOfKind: Readonly<Record<SectionKind, ListName>> = {
  [SectionKind.Client]: ListName.Plans,
  [SectionKind.Plan]: ListName.Usage,
  [SectionKind.Model]: ListName.Usage,
  [SectionKind.Service]: ListName.Usage,
  [SectionKind.Target]: ListName.Usage
}

type WithoutName<T> = Omit<T, 'name'>

const clientSchema: z.ZodType<WithoutName<Client>> = z.strictObject({
  plan: textField,
  'key-hashes': keyHashesField
}).transform(value => ({ plan: value.plan, keyHashes: value['key-hashes'] }))

const planSchema: z.ZodType<WithoutName<Plan>> = z.strictObject({
  'requests-per-minute': integerField(1, maximumRatePerMinute),
  'tokens-per-minute': integerField(1, maximumRatePerMinute),
  concurrency: integerField(1, maximumConcurrency),
  'batch-weight': numberField(0.01, 100).default(1),
  models: namesField.default([]),
  services: namesField.default([])
}).transform(value => ({
  requestsPerMinute: value['requests-per-minute'],
  tokensPerMinute: value['tokens-per-minute'],
  concurrency: value.concurrency,
  batchWeight: value['batch-weight'],
  models: value.models,
  services: value.services
}))

const modelSchema: z.ZodType<WithoutName<Model>> = z.strictObject({
  'context-tokens': integerField(1, maximumContextTokens)
}).transform(value => ({ contextTokens: value['context-tokens'] }))

const serviceSchema: z.ZodType<WithoutName<Service>> = z.strictObject({
  repeatable: booleanField
})

const targetSchema: z.ZodType<WithoutName<Target>> = z.strictObject({
  model: textField.optional(),
  service: textField.optional(),
  concurrency: integerField(1, maximumConcurrency),
  'checks-fencing': booleanField.default(false)
}).refine(
  value => (value.model === undefined) !== (value.service === undefined),
  { message: 'expected either "model" or "service"', path: ['model'] }
).transform(value => ({
  model: value.model ?? null,
  service: value.service ?? null,
  concurrency: value.concurrency,
  checksFencing: value['checks-fencing']
}))

/** Schemas of the values of each kind of section. */
export const sectionSchemas = {
  [SectionKind.Client]: clientSchema,
  [SectionKind.Plan]: planSchema,
  [SectionKind.Model]: modelSchema,
  [SectionKind.Service]: serviceSchema,
  [SectionKind.Target]: targetSchema
} as const

/** Returns whether a word is a kind of section. */
export function isSectionKind (word: string): word is SectionKind {
  return Object.values<string>(SectionKind).includes(word)
}

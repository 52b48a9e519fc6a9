/** Validates the bodies of generation requests. */
import { GenerationPath } from '@arbutusloft/adapters'
import { z } from 'zod'
import { invalidRequest } from '../http/api-error.js'

/** The fields of a body that the entry uses; the target gets the body unchanged. */
export interface GenerationBody {
  readonly model: string
  /** The whole prompt as one text, for token estimates and prefix-cache affinity. */
  readonly prompt: string
  readonly stream: boolean
  /** Whether a stream ends with a chunk that holds the usage. */
  readonly includeUsage: boolean
  /** Limit on completion tokens. */
  readonly maximumCompletionTokens: number
  /** The body as received. */
  readonly body: Readonly<Record<string, unknown>>
}

const defaultMaximumCompletionTokens = 256
const maximumTokensAllowed = 1_000_000

const contentSchema = z.union([
  z.string(),
  z.array(z.looseObject({ type: z.string(), text: z.string().optional() }))
])

const commonShape = {
  model: z.string().min(1),
  stream: z.boolean().nullish(),
  stream_options: z.looseObject({ include_usage: z.boolean().optional() }).nullish(),
  max_tokens: z.number().int().min(1).max(maximumTokensAllowed).nullish(),
  max_completion_tokens: z.number().int().min(1).max(maximumTokensAllowed).nullish(),
  n: z.literal(1, { error: 'only one answer a request is supported: leave "n" out' }).nullish()
}

const chatSchema = z.looseObject({
  ...commonShape,
  messages: z.array(z.looseObject({ role: z.string(), content: contentSchema.nullish() })).min(1)
})

const completionSchema = z.looseObject({
  ...commonShape,
  prompt: z.union([z.string(), z.array(z.string()).length(1)])
})

/** Validates a body for a generation path; throws a 400 error that names the invalid field. */
export function parseGenerationBody (path: GenerationPath, body: Record<string, unknown>): GenerationBody {
  const common = path === GenerationPath.Chat ? parseChat(body) : parseCompletion(body)
  return { ...common, body }
}

type ParsedFields = Omit<GenerationBody, 'body'>

function parseChat (body: Record<string, unknown>): ParsedFields {
  const value = validate(chatSchema, body)
  const prompt = value.messages.map(message => `${message.role}: ${contentText(message.content)}`).join('\n')
  return { ...commonFieldsOf(value), prompt }
}

function parseCompletion (body: Record<string, unknown>): ParsedFields {
  const value = validate(completionSchema, body)
  const prompt = typeof value.prompt === 'string' ? value.prompt : value.prompt.join('')
  return { ...commonFieldsOf(value), prompt }
}

type CommonFields = z.infer<z.ZodObject<typeof commonShape>>

function commonFieldsOf (value: CommonFields): Omit<ParsedFields, 'prompt'> {
  return {
    model: value.model,
    stream: value.stream ?? false,
    includeUsage: value.stream_options?.include_usage ?? false,
    maximumCompletionTokens: value.max_completion_tokens ?? value.max_tokens ?? defaultMaximumCompletionTokens
  }
}

function contentText (content: z.infer<typeof contentSchema> | null | undefined): string {
  if (content === null || content === undefined) {
    return ''
  }
  return typeof content === 'string' ? content : content.map(part => part.text ?? '').join('')
}

function validate<T> (schema: z.ZodType<T>, body: Record<string, unknown>): T {
  const parsed = schema.safeParse(body)
  if (parsed.success) {
    return parsed.data
  }
  const issue = parsed.error.issues[0]
  const parameter = issue?.path.join('.') ?? ''
  throw invalidRequest(`"${parameter}": ${issue?.message ?? 'not valid'}`, parameter)
}

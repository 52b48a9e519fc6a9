/** Parses the lines of batch input files. */
import { GenerationPath, isGenerationPath } from '@arbutusloft/adapters'
import { isPlainObject } from '@arbutusloft/protocol'
import tsResults from 'ts-results'
import type { Result } from 'ts-results'
import { z } from 'zod'
import { createErrorResult, ItemErrorCode } from './item-result.js'
import type { ItemResult } from './item-result.js'

const { Ok, Err } = tsResults

/** A valid request of a batch input file. */
export interface BatchItem {
  /** Position in the input file, from 0. */
  readonly index: number
  readonly customId: string
  readonly url: string
  readonly body: Readonly<Record<string, unknown>>
  /** Model or service that the request names. */
  readonly subject: string
  /** The whole prompt as one text, for estimates and prefix-cache affinity; empty for services. */
  readonly prompt: string
  /** Limit on completion tokens; 0 for services. */
  readonly maximumCompletionTokens: number
}

const defaultMaximumCompletionTokens = 256
const servicePattern = /^\/v1\/services\/([^/]+)(\/.*)$/

const lineSchema = z.object({
  custom_id: z.string().min(1).max(512),
  method: z.literal('POST'),
  url: z.string(),
  body: z.record(z.string(), z.unknown())
})

/** Parses a line of the input file. Returns a failed result for the error file if the line is not a valid request. */
export function parseItem (index: number, line: string, endpoint: string): Result<BatchItem, ItemResult> {
  const invalid = (customId: string, message: string): Result<BatchItem, ItemResult> => {
    return Err(createErrorResult({ index, customId, subject: '' }, ItemErrorCode.Invalid, `line ${index + 1}: ${message}`))
  }
  const json = parseJson(line)
  const parsed = lineSchema.safeParse(json)
  const customId = isPlainObject(json) && typeof json['custom_id'] === 'string' ? json['custom_id'] : ''
  if (!parsed.success) {
    const issue = parsed.error.issues[0]
    return invalid(customId, `"${issue?.path.join('.') ?? ''}": ${issue?.message ?? 'not valid'}`)
  }
  const { url, body } = parsed.data
  if (url !== endpoint) {
    return invalid(customId, `"url" must be the batch's endpoint ${endpoint}`)
  }
  if (!isGenerationPath(url)) {
    const subject = servicePattern.exec(url)?.[1] ?? ''
    return Ok({ index, customId, url, body, subject, prompt: '', maximumCompletionTokens: 0 })
  }
  const prompt = promptText(url, body)
  if (typeof body['model'] !== 'string' || prompt === null) {
    return invalid(customId, 'the body needs "model" and "messages" or "prompt"')
  }
  const maximumCompletionTokens = parseTokenLimit(body['max_completion_tokens'] ?? body['max_tokens'])
  return Ok({ index, customId, url, body, subject: body['model'], prompt, maximumCompletionTokens })
}

/** Returns the path at the plain service, which follows the service's name in the URL of an item. */
export function servicePathOf (url: string): string {
  return servicePattern.exec(url)?.[2] ?? '/'
}

function parseJson (line: string): unknown {
  try {
    return JSON.parse(line)
  } catch {
    return null
  }
}

function promptText (url: GenerationPath, body: Readonly<Record<string, unknown>>): string | null {
  if (url === GenerationPath.Completion) {
    return typeof body['prompt'] === 'string' ? body['prompt'] : null
  }
  if (!Array.isArray(body['messages']) || body['messages'].length === 0) {
    return null
  }
  const messages: readonly unknown[] = body['messages']
  const texts = messages.map(message => {
    return isPlainObject(message) ? `${String(message['role'])}: ${String(message['content'] ?? '')}` : null
  })
  return texts.includes(null) ? null : texts.join('\n')
}

function parseTokenLimit (value: unknown): number {
  return typeof value === 'number' && value > 0 ? value : defaultMaximumCompletionTokens
}

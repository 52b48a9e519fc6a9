/** Creates input lines of batches in the OpenAI batch format. */
import { sample } from '@arbutusloft/development'

/** Endpoint of batches whose items are chat completions. */
export const chatEndpoint = '/v1/chat/completions'

/** Endpoint of batches whose items call the non-idempotent confirmation service. */
export const confirmationEndpoint = `/v1/services/${sample.confirmationService}/send`

/** Returns the names `PREFIX-0`, `PREFIX-1` and so on; an item's name is its `custom_id`. */
export function createItemNames (prefix: string, count: number): readonly string[] {
  return Array.from({ length: count }, (_, index) => `${prefix}-${index}`)
}

/** Returns one input line for a chat completion per name. */
export function createChatLines (names: readonly string[], maximumCompletionTokens = 8): readonly string[] {
  return names.map(name => JSON.stringify({
    custom_id: name,
    method: 'POST',
    url: chatEndpoint,
    body: { model: sample.model, max_tokens: maximumCompletionTokens, messages: [{ role: 'user', content: `text for ${name}` }] }
  }))
}

/** Returns one input line for a call of the confirmation service per name. */
export function createConfirmationLines (names: readonly string[]): readonly string[] {
  return names.map(name => JSON.stringify({ custom_id: name, method: 'POST', url: confirmationEndpoint, body: { name } }))
}

/** Input lines of batches. */
import { sample } from '@arbutusloft/development'

/** Endpoint of chat batches. */
export const chatEndpoint = '/v1/chat/completions'

/** Endpoint of batches of calls that may not be repeated. */
export const confirmEndpoint = `/v1/services/${sample.service}/send`

/** Names of a batch's items. */
export function itemNames (prefix: string, count: number): readonly string[] {
  return Array.from({ length: count }, (_, index) => `${prefix}-${index}`)
}

/** Lines of a chat batch. */
export function chatLines (names: readonly string[], greatestTokens = 8): readonly string[] {
  return names.map(name => JSON.stringify({
    custom_id: name,
    method: 'POST',
    url: chatEndpoint,
    body: { model: sample.model, max_tokens: greatestTokens, messages: [{ role: 'user', content: `text for ${name}` }] }
  }))
}

/** Lines of a batch of calls that may not be repeated. */
export function confirmLines (names: readonly string[]): readonly string[] {
  return names.map(name => JSON.stringify({ custom_id: name, method: 'POST', url: confirmEndpoint, body: { name } }))
}

/** Filter that finds the client or operator a key belongs to. */
import type { IncomingMessage } from 'node:http'
import { hashKey, isSameHash } from '@arbutusloft/configuration'
import type { Configuration, OperatorSettings } from '@arbutusloft/configuration'
import { ApiError, ApiErrorType, RunState } from '../http/api-error.js'
import type { ClientExchange, Exchange } from './exchange.js'

const scheme = /^Bearer (.+)$/i

/** The exchange with its client, or an error if the key is nobody's. */
export function authenticateClient (exchange: Exchange, configuration: Configuration): ClientExchange {
  const hash = hashOf(exchange.request)
  for (const client of configuration.clients.values()) {
    const plan = configuration.plans.get(client.plan)
    if (plan !== undefined && client.keyHashes.some(known => isSameHash(known, hash))) {
      return { ...exchange, client, plan }
    }
  }
  throw wrongKey()
}

/** The operator's name, or an error if the key is nobody's. */
export function authenticateOperator (request: IncomingMessage, operators: readonly OperatorSettings[]): string {
  const hash = hashOf(request)
  const operator = operators.find(candidate => candidate.keyHashes.some(known => isSameHash(known, hash)))
  if (operator === undefined) {
    throw wrongKey()
  }
  return operator.name
}

function hashOf (request: IncomingMessage): string {
  const key = scheme.exec(request.headers.authorization ?? '')?.[1]
  if (key === undefined) {
    throw new ApiError(401, ApiErrorType.Authentication, 'send your key in the header "Authorization: Bearer KEY"', { run: RunState.NotRun })
  }
  return hashKey(key)
}

function wrongKey (): ApiError {
  return new ApiError(401, ApiErrorType.Authentication, 'the key is not known here; check it, or ask an operator for one', { code: 'invalid_api_key', run: RunState.NotRun })
}

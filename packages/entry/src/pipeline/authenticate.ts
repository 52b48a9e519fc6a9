/** Authenticates clients and operators by their API keys. */
import type { IncomingMessage } from 'node:http'
import { hashKey, isSameHash } from '@arbutusloft/configuration'
import type { Configuration, OperatorSettings } from '@arbutusloft/configuration'
import { ApiError, ApiErrorType, ExecutionOutcome } from '../http/api-error.js'
import type { ClientExchange, Exchange } from './exchange.js'

const bearerPattern = /^Bearer (.+)$/i

/** Returns the exchange with the client whose key it carries; throws a 401 error for a missing or unknown key. */
export function authenticateClient (exchange: Exchange, configuration: Configuration): ClientExchange {
  const hash = hashOf(exchange.request)
  for (const client of configuration.clients.values()) {
    const plan = configuration.plans.get(client.plan)
    if (plan !== undefined && client.keyHashes.some(known => isSameHash(known, hash))) {
      return { ...exchange, client, plan }
    }
  }
  throw createUnknownKeyError()
}

/** Returns the name of the operator whose key the request carries; throws a 401 error for a missing or unknown key. */
export function authenticateOperator (request: IncomingMessage, operators: readonly OperatorSettings[]): string {
  const hash = hashOf(request)
  const operator = operators.find(candidate => candidate.keyHashes.some(known => isSameHash(known, hash)))
  if (operator === undefined) {
    throw createUnknownKeyError()
  }
  return operator.name
}

function hashOf (request: IncomingMessage): string {
  const key = bearerPattern.exec(request.headers.authorization ?? '')?.[1]
  if (key === undefined) {
    throw new ApiError(401, ApiErrorType.Authentication, 'send your key in the header "Authorization: Bearer KEY"', { run: ExecutionOutcome.NotRun })
  }
  return hashKey(key)
}

function createUnknownKeyError (): ApiError {
  return new ApiError(401, ApiErrorType.Authentication, 'the key is not known here; check it, or ask an operator for one', { code: 'invalid_api_key', run: ExecutionOutcome.NotRun })
}

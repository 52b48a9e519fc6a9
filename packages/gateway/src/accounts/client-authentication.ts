/** Finds the client account of each request by its key, and answers requests that are not served for their key. The design is in docs/design/client-accounts.md. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { decideKey, InstanceContact, KeyVerdict } from '@arbutusloft/policy'
import type { Account, AccountDirectory, RevocationRules } from '@arbutusloft/policy'
import { rejectRequest, reply, Status } from '../http/reply.js'
import type { GatewayMetrics } from '../metrics.js'
import type { Membership } from '../peers/membership.js'
import type { PeerTransport } from '../peers/peer-socket.js'
import { LineBudget } from '../util/logger.js'
import type { Logger } from '../util/logger.js'
import { identityFaultTexts, IdentityFault, keyOf, noAccounts } from './client-identity.js'
import type { ClientIdentity } from './client-identity.js'
import { ConfigurationReads } from './configuration-reads.js'

/** The configuration that keys are judged by. */
export interface KeyConfiguration {
  /** Client accounts of the configuration in force, or null if it has none. */
  readonly accounts: AccountDirectory | null
  /** Whether all of them could be decoded. */
  readonly isComplete: boolean
  /** Whether the newest configuration that was read could be decoded. */
  readonly isReadable: boolean
}

/** Dependencies of {@link ClientAuthentication}. */
export interface ClientAuthenticationDependencies {
  /** Returns the present configuration, or null before the first. */
  readonly configuration: () => KeyConfiguration | null
  /** Returns the milliseconds since the time up to which all versions of the configuration are known, by the clock that shows more. */
  readonly ageMilliseconds: () => number
  /** Reads the configuration to its end and applies it; returns whether that succeeded. */
  readonly refresh: () => Promise<boolean>
  readonly rules: RevocationRules
  readonly membership: Pick<Membership, 'live'>
  readonly transport: Pick<PeerTransport, 'onMessage'>
  /** Header with the id of a request, for log lines. */
  readonly requestIdHeader: string
  readonly metrics: Pick<GatewayMetrics, 'rejectedKeys' | 'countAccountRequest'>
  readonly logger: Logger
}

/** Where a request is to be served. */
export interface RequestPlace {
  /** Name of the route, or of the kind of call. */
  readonly route: string
  /** Whether a request without the key of an account is served as well, by the configuration that is in force when this is called. */
  readonly isPublic: () => boolean
}

/** Delay for clients whose request came before the first configuration, in milliseconds. */
const unreadyRetryMilliseconds = 50
/** Delay for clients whose key cannot be confirmed, in milliseconds: until the next read of the configuration. */
const unconfirmedRetryMilliseconds = 250
/** Log lines a second about rejected keys. */
const linesPerSecond = 10
/** Interval in milliseconds at which the members seen are recorded while messages arrive. */
const contactIntervalMilliseconds = 1_000

/** Judges the keys of requests. */
export class ClientAuthentication {
  readonly #contact = new InstanceContact()
  readonly #reads: ConfigurationReads
  readonly #lines = new LineBudget(linesPerSecond)
  #contactRecordedAt = -Infinity

  constructor (private readonly dependencies: ClientAuthenticationDependencies) {
    this.#reads = new ConfigurationReads(dependencies.refresh)
    dependencies.transport.onMessage(() => { this.#recordContact(Date.now()) })
  }

  /** Returns who sends a request; answers the request and returns null if it is not served for its key. Its body is not read. */
  async identify (request: IncomingMessage, response: ServerResponse, place: RequestPlace): Promise<ClientIdentity | null> {
    if (this.dependencies.configuration() === null) {
      await this.#reads.wait()
    }
    const configuration = this.dependencies.configuration()
    if (configuration === null) {
      rejectRequest(response, Status.ServiceUnavailable, 'not run: no configuration yet', unreadyRetryMilliseconds)
      return null
    }
    if (configuration.accounts === null) {
      return noAccounts
    }
    const bearer = keyOf(request)
    const result = 'key' in bearer ? await this.#judge(bearer.key) : bearer.fault
    if (typeof result !== 'string') {
      this.#countWhenClosed(result, response)
      return result
    }
    // What keeps an account from being confirmed does not keep a public route from being served.
    if (place.isPublic()) {
      return { hasAccounts: true, account: null }
    }
    this.#reject(request, response, place.route, result)
    return null
  }

  /** Returns the identity of a key, or why it has none. */
  async #judge (key: string): Promise<ClientIdentity | IdentityFault> {
    let hasReadFailed = false
    for (;;) {
      const configuration = this.dependencies.configuration()
      if (configuration?.accounts === null) {
        return noAccounts
      }
      const account = configuration?.accounts.findByKey(key) ?? null
      switch (this.#verdictOn(account, configuration, hasReadFailed)) {
        case KeyVerdict.Admit:
          return { hasAccounts: true, account }
        case KeyVerdict.Unknown:
          return IdentityFault.Unknown
        case KeyVerdict.Unconfirmed:
          return IdentityFault.Unconfirmed
        case KeyVerdict.Read:
          await this.#read(account !== null)
          hasReadFailed = true
      }
    }
  }

  /** Reads the configuration. A known key does not wait while the store is out of reach, since all its requests would be late then. */
  async #read (isKnown: boolean): Promise<void> {
    if (isKnown && this.#reads.hasFailedLately) {
      this.#reads.start()
      return
    }
    await this.#reads.wait()
  }

  #verdictOn (account: Account | null, configuration: KeyConfiguration | null, hasReadFailed: boolean): KeyVerdict {
    const ageMilliseconds = this.dependencies.ageMilliseconds()
    return decideKey({
      isKnown: account !== null,
      isReadable: configuration?.isReadable === true,
      isComplete: configuration?.isComplete === true,
      ageMilliseconds,
      hasReadFailed,
      seesHalf: hasReadFailed && this.#contact.seesHalf(this.#membersSeen, Date.now())
    }, this.dependencies.rules)
  }

  /** Addresses of the other members that have not failed as far as this process knows. */
  get #membersSeen (): readonly string[] {
    return this.dependencies.membership.live().slice(1).map(({ address }) => address)
  }

  #recordContact (now: number): void {
    this.#contact.recordMessage(now)
    if (Math.abs(now - this.#contactRecordedAt) < contactIntervalMilliseconds) {
      return
    }
    this.#contactRecordedAt = now
    const { ageMilliseconds, rules } = this.dependencies
    this.#contact.recordSeen(this.#membersSeen, ageMilliseconds() <= rules.boundMilliseconds, now)
  }

  #reject (request: IncomingMessage, response: ServerResponse, route: string, reason: IdentityFault): void {
    const { requestIdHeader, metrics, logger } = this.dependencies
    metrics.rejectedKeys.inc({ reason })
    const omitted = this.#lines.take()
    if (omitted !== null) {
      logger.info('key rejected', { request: request.headers[requestIdHeader] ?? null, route, reason, ...(reason === IdentityFault.Unconfirmed ? this.#doubts() : {}), ...(omitted > 0 ? { omitted } : {}) })
    }
    if (reason === IdentityFault.Unconfirmed) {
      rejectRequest(response, Status.ServiceUnavailable, identityFaultTexts[reason], unconfirmedRetryMilliseconds)
      return
    }
    reply(response, Status.Unauthorized, { error: identityFaultTexts[reason] }, { 'www-authenticate': 'Bearer' })
  }

  /** Why keys cannot be confirmed, for log lines. */
  #doubts (): Readonly<Record<string, unknown>> {
    const age = this.dependencies.ageMilliseconds()
    const configuration = this.dependencies.configuration()
    return { age: Number.isFinite(age) ? Math.round(age) : null, readable: configuration?.isReadable, complete: configuration?.isComplete, seen: this.#membersSeen.length + 1, known: this.#contact.known }
  }

  #countWhenClosed ({ account }: ClientIdentity, response: ServerResponse): void {
    if (account === null) {
      return
    }
    response.once('close', () => {
      this.dependencies.metrics.countAccountRequest(account.name, response.writableFinished ? response.statusCode : null)
    })
  }
}

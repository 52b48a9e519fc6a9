/** Prometheus metrics of a gateway process. */
import type { ExpectedTime } from '@arbutusloft/policy'
import { AccountCounts } from './accounts/account-counts.js'
import type { ServiceBatchRoom, ZoneGrants } from './permits/slot-owner.js'
import { Counter, Gauge, Histogram, Registry } from './util/prometheus.js'

/** Bucket bounds in seconds, dense around the latency objectives of online routes. */
const latencyBounds = [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 2, 5]

const millisecondsPerSecond = 1_000

/** Metrics of one gateway process, in a separate registry. */
export class GatewayMetrics {
  readonly registry = new Registry()

  /** Online requests by route and outcome. */
  readonly requests = new Counter({
    name: 'arbutus_gateway_requests_total',
    help: 'Online requests by route and outcome',
    labelNames: ['route', 'outcome'],
    registers: [this.registry]
  })

  /** Refused requests of client accounts by what put them behind others (see {@link OrderCause}) and by rank (see {@link rankLabelOf}). */
  readonly orderedRefusals = new Counter({
    name: 'arbutus_gateway_ordered_refusals_total',
    help: 'Online requests of client accounts that were refused for their place among those that wait, by cause and rank',
    labelNames: ['cause', 'rank'],
    registers: [this.registry]
  })

  /** Time from the arrival of a request to the end of its response, in seconds. */
  readonly duration = new Histogram({
    name: 'arbutus_gateway_request_seconds',
    help: 'Time from arrival to the final answer',
    labelNames: ['outcome'],
    buckets: latencyBounds,
    registers: [this.registry]
  })

  /** Time from the arrival of a request to the first byte of the response body, in seconds. */
  readonly firstByte = new Histogram({
    name: 'arbutus_gateway_first_byte_seconds',
    help: 'Time from arrival to the first byte of the body',
    buckets: latencyBounds,
    registers: [this.registry]
  })

  /** Runs of batch items by outcome. */
  readonly items = new Counter({
    name: 'arbutus_gateway_items_total',
    help: 'Runs of batch items by outcome',
    labelNames: ['outcome'],
    registers: [this.registry]
  })

  /** Batch items that have waited for a slot for longer than one request for it lasts, by cause; see {@link WaitCause}. */
  readonly waitingItems = new Gauge({
    name: 'arbutus_gateway_items_waiting',
    help: 'Batch items that wait for a slot, by cause',
    labelNames: ['cause'],
    registers: [this.registry]
  })

  /** Changes that the check of items that should run has made: started, for an item without a run, or stopped, for a run without need. */
  readonly watchedItems = new Counter({
    name: 'arbutus_gateway_item_check_changes_total',
    help: 'Runs of batch items that the periodic check has started or stopped',
    labelNames: ['change'],
    registers: [this.registry]
  })

  /** Client calls about batch jobs by kind and status. */
  readonly jobCalls = new Counter({
    name: 'arbutus_gateway_job_calls_total',
    help: 'Calls about batch jobs by kind and status',
    labelNames: ['call', 'status'],
    registers: [this.registry]
  })

  /** Calls to the platform's store by kind and outcome. */
  readonly storeCalls = new Counter({
    name: 'arbutus_gateway_store_calls_total',
    help: 'Calls to the store by kind and outcome',
    labelNames: ['call', 'outcome'],
    registers: [this.registry]
  })

  /** Changes of quarantines that this process has decided, by change: begun, extended or cleared. */
  readonly quarantineChanges = new Counter({
    name: 'arbutus_gateway_prompt_quarantine_changes_total',
    help: 'Changes of quarantines by change',
    labelNames: ['change'],
    registers: [this.registry]
  })

  /**
   * Connections to targets that were relayed or asked for, by role of this process and outcome. As `holder` it asked a peer: connected, unreachable
   * (the peer could not connect either), no-path (the peer could not tell) or relay-lost. As `relay` it was asked: connected, unreachable, no-path
   * or refused.
   */
  readonly relayedConnections = new Counter({
    name: 'arbutus_gateway_relayed_connections_total',
    help: 'Connections to targets through a peer by role and outcome',
    labelNames: ['role', 'outcome'],
    registers: [this.registry]
  })

  /** Requests that were refused because their account had used its allowance; accounts after the first 20 are counted together. */
  readonly allowanceRefusals = new Counter({
    name: 'arbutus_gateway_allowance_refusals_total',
    help: 'Requests refused because their account had used its allowance, by account',
    labelNames: ['account'],
    registers: [this.registry]
  })

  #allowances: () => ReadonlyArray<{ readonly account: string, readonly limit: number, readonly used: number }> = () => []

  /** Allowances at the owner of slots, in requests of one window: what is in force and what is used, of the 20 accounts that use most. */
  readonly allowance: Gauge<'account' | 'kind'> = new Gauge({
    name: 'arbutus_gateway_account_allowance',
    help: 'Requests of one window that an account may send and has sent, by account and kind (limit, used)',
    labelNames: ['account', 'kind'],
    registers: [this.registry],
    collect: () => {
      this.allowance.reset()
      for (const { account, limit, used } of this.#allowances()) {
        this.allowance.set({ account, kind: 'limit' }, limit)
        this.allowance.set({ account, kind: 'used' }, used)
      }
    }
  })

  /** Requests and responses that were refused or ended for lack of memory, by what held or needed it; see {@link HeldKind}. */
  readonly memoryRefusals = new Counter({
    name: 'arbutus_gateway_memory_refusals_total',
    help: 'Requests and responses that were refused or ended for lack of memory, by kind',
    labelNames: ['kind'],
    registers: [this.registry]
  })

  /** Client connections that were closed at once, since as many are open as the process may have. */
  readonly droppedConnections = new Counter({
    name: 'arbutus_gateway_dropped_connections_total',
    help: 'Connections that were closed at once beyond the number that may be open',
    labelNames: ['port'],
    registers: [this.registry]
  })

  #heldBytes: () => ReadonlyArray<readonly [string, number]> = () => []

  /** Bytes that requests and responses hold, by kind; see {@link HeldKind}. */
  readonly heldBytes: Gauge<'kind'> = new Gauge({
    name: 'arbutus_gateway_held_bytes',
    help: 'Bytes that requests and responses hold in memory, by kind',
    labelNames: ['kind'],
    registers: [this.registry],
    collect: () => { this.#heldBytes().forEach(([kind, bytes]) => { this.heldBytes.set({ kind }, bytes) }) }
  })

  #rateLimits: () => ReadonlyArray<readonly [string, number]> = () => []

  /** Rate limits in force of listed targets, in requests a second, as far as this process knows them; no value for targets without one. */
  readonly targetRateLimit: Gauge<'target'> = new Gauge({
    name: 'arbutus_gateway_target_rate_limit',
    help: 'Requests a second that a target takes from all instances together, as it says',
    labelNames: ['target'],
    registers: [this.registry],
    collect: () => {
      this.targetRateLimit.reset()
      this.#rateLimits().forEach(([target, limit]) => { this.targetRateLimit.set({ target }, limit) })
    }
  })

  readonly #accountCounts = new AccountCounts()

  /** Requests and calls about jobs whose key is that of an account, by account and outcome; see {@link AccountCounts}. */
  readonly accountRequests: Counter<'account' | 'outcome'> = new Counter({
    name: 'arbutus_gateway_account_requests_total',
    help: 'Requests by client account and outcome',
    labelNames: ['account', 'outcome'],
    registers: [this.registry],
    collect: () => {
      this.accountRequests.reset()
      this.#accountCounts.series().forEach(({ account, outcome, count }) => { this.accountRequests.inc({ account, outcome }, count) })
    }
  })

  /** Requests that were not served for their key, by reason; see {@link IdentityFault}. */
  readonly rejectedKeys = new Counter({
    name: 'arbutus_gateway_rejected_keys_total',
    help: 'Requests that were not served for their key, by reason',
    labelNames: ['reason'],
    registers: [this.registry]
  })

  #targetTimes: () => readonly ExpectedTime[] = () => []

  /**
   * Time to the first event of an online request at the slowest targets whose slots this process grants, in seconds: `expected` for the next request,
   * `measured` for the latest one.
   */
  readonly targetFirstEvent: Gauge<'target' | 'figure'> = new Gauge({
    name: 'arbutus_gateway_target_first_event_seconds',
    help: 'Expected and latest measured time to the first event by target, at the owner of its slots',
    labelNames: ['target', 'figure'],
    registers: [this.registry],
    collect: () => {
      this.targetFirstEvent.reset()
      for (const { target, expected, measured } of this.#targetTimes()) {
        this.targetFirstEvent.set({ target, figure: 'expected' }, expected / millisecondsPerSecond)
        this.targetFirstEvent.set({ target, figure: 'measured' }, measured / millisecondsPerSecond)
      }
    }
  })

  #zoneGrants: () => readonly ZoneGrants[] = () => []

  /** Slots granted to requests of each availability zone, by why they stayed in it or left it; see {@link ZoneCause}. */
  readonly zoneGrants: Counter<'service' | 'zone' | 'cause'> = new Counter({
    name: 'arbutus_gateway_zone_grants_total',
    help: 'Slots granted at the owner, by zone of the requesting instance and why they are in its zone or in another one',
    labelNames: ['service', 'zone', 'cause'],
    registers: [this.registry],
    collect: () => {
      this.zoneGrants.reset()
      for (const { service, zone, counts } of this.#zoneGrants()) {
        counts.forEach((count, cause) => { this.zoneGrants.inc({ service, zone, cause }, count) })
      }
    }
  })

  /** Share of the requests of each availability zone that is to leave it while it has free slots. */
  readonly zoneLeavingShare: Gauge<'service' | 'zone'> = new Gauge({
    name: 'arbutus_gateway_zone_leaving_share',
    help: 'Share of the requests of a zone that is to leave it while it has free slots, at the owner',
    labelNames: ['service', 'zone'],
    registers: [this.registry],
    collect: () => {
      this.zoneLeavingShare.reset()
      this.#zoneGrants().forEach(({ service, zone, share }) => { this.zoneLeavingShare.set({ service, zone }, share) })
    }
  })

  #batchRooms: () => readonly ServiceBatchRoom[] = () => []

  /** Slots that batch work leaves free for steps of online load, beyond the usual ones. */
  readonly batchRoom: Gauge<'service'> = new Gauge({
    name: 'arbutus_gateway_batch_room_slots',
    help: 'Slots that batch work leaves free for steps of online load, beyond the usual ones, at the owner',
    labelNames: ['service'],
    registers: [this.registry],
    collect: () => {
      this.batchRoom.reset()
      this.#batchRooms().forEach(({ service, slots }) => { this.batchRoom.set({ service }, slots) })
    }
  })

  /** Version of the current configuration. */
  readonly routesVersion = new Gauge({
    name: 'arbutus_gateway_routes_version',
    help: 'Version of the routes in force',
    registers: [this.registry]
  })

  /** Asks for the allowances when metrics are read. */
  onCollectAllowances (allowances: () => ReadonlyArray<{ readonly account: string, readonly limit: number, readonly used: number }>): void {
    this.#allowances = allowances
  }

  /**
   * Counts a request of an account.
   *
   * @param status status of the response, or null if the connection closed before its end
   */
  countAccountRequest (account: string, status: number | null): void {
    this.#accountCounts.record(account, status)
  }

  /** Asks for the bytes that are held, in pairs of a kind and its bytes, when metrics are read. */
  onCollectHeldBytes (heldBytes: () => ReadonlyArray<readonly [string, number]>): void {
    this.#heldBytes = heldBytes
  }

  /** Asks for the times to the first event when metrics are read. */
  onCollectTargetTimes (targetTimes: () => readonly ExpectedTime[]): void {
    this.#targetTimes = targetTimes
  }

  /** Asks for the room that batch work leaves when metrics are read. */
  onCollectBatchRooms (batchRooms: () => readonly ServiceBatchRoom[]): void {
    this.#batchRooms = batchRooms
  }

  /** Asks for where requests went when metrics are read. */
  onCollectZoneGrants (zoneGrants: () => readonly ZoneGrants[]): void {
    this.#zoneGrants = zoneGrants
  }

  /** Asks for the limits, in pairs of a target's id and its requests a second, when metrics are read. */
  onCollectRateLimits (rateLimits: () => ReadonlyArray<readonly [string, number]>): void {
    this.#rateLimits = rateLimits
  }
}

/** Which services the routes of each path have had lately, as a stream may have begun at one that its path does not lead to any more. */
import { PrefixMap } from '../routes/prefix-map.js'
import type { Route, RouteTable } from '../routes/route-table.js'
import { streamMemoryMilliseconds } from './version-history.js'

/** Time after a change in which streams may still begin at a former service: at an instance that applies the change late, and of requests that waited. */
const lateBeginningMilliseconds = 7_000
const memoryMilliseconds = streamMemoryMilliseconds + lateBeginningMilliseconds

/** Services that the paths under a prefix had until a change of the configuration. */
interface FormerServices {
  readonly services: ReadonlySet<string>
  /** Time of the change, in milliseconds since the epoch. */
  readonly until: number
}

/** Keeps the services of paths whose services have changed for as long as streams that began before may be taken up. */
export class ServiceHistory {
  readonly #former = new PrefixMap<FormerServices>()

  /** Notes that a table takes the place of another one; returns the services from which paths were taken. */
  replace (former: RouteTable, next: RouteTable, now: number): ReadonlySet<string> {
    for (const entry of [...this.#former.all()].filter(({ value }) => !isRecent(value, now))) {
      this.#former.delete(entry)
    }
    const changed = [...routesUnlike(former, next), ...routesUnlike(next, former)].flatMap(({ host, prefix }) => {
      const route = former.find(host, prefix)
      const services = chosenServices(route)
      return route === null || services.size === 0 || isSame(services, chosenServices(next.find(host, prefix))) ? [] : [{ host, prefix, route, services }]
    })
    // What the paths had before as well, since entries of shorter prefixes do not count beside a route of their own.
    const entries = changed.map(({ host, prefix, route }) => ({ host, prefix, services: this.servicesOf(route, prefix, now) }))
    entries.forEach(({ host, prefix, services }) => { this.#former.set(host, prefix, { services, until: now }) })
    return new Set(changed.flatMap(({ services }) => [...services]))
  }

  /**
   * Returns the services at which a stream can have begun that may still be taken up.
   *
   * @param route the route that a path leads to now
   * @param path the path, without query
   */
  servicesOf (route: Route, path: string, now: number): ReadonlySet<string> {
    const services = new Set(chosenServices(route))
    for (const { prefix, value } of this.#former.matching(route.host, path)) {
      if (prefix.length < route.prefix.length) {
        break
      }
      if (isRecent(value, now)) {
        value.services.forEach(service => services.add(service))
      }
    }
    return services
  }
}

/** Returns the routes of a table for which the other one has none with the same prefix and services. */
function routesUnlike (table: RouteTable, other: RouteTable): readonly Route[] {
  const byPrefix = new Map(other.configuration.routes.map(route => [keyOf(route.host, route.prefix), route]))
  return table.configuration.routes.filter(route => {
    const counterpart = byPrefix.get(keyOf(route.host, route.prefix))
    return counterpart === undefined || !isSame(chosenServices(route), chosenServices(counterpart))
  })
}

function keyOf (host: string, prefix: string): string {
  return `${host}\n${prefix}`
}

/** Returns the services to which requests of a route are sent; those without weight get none. */
function chosenServices (route: Route | null): ReadonlySet<string> {
  return new Set((route?.services ?? []).filter(({ weight }) => weight > 0).map(({ service }) => service))
}

function isSame (services: ReadonlySet<string>, others: ReadonlySet<string>): boolean {
  return services.size === others.size && [...services].every(service => others.has(service))
}

function isRecent ({ until }: FormerServices, now: number): boolean {
  return Math.abs(now - until) <= memoryMilliseconds
}

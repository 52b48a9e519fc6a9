/** Which services the routes of each path have had lately, as a stream may have begun at one that its path does not lead to any more. */
import { RouteTable } from '../routes/route-table.js'
import type { Route, RouteConfiguration } from '../routes/route-table.js'
import { streamMemoryMilliseconds } from './version-history.js'

/** Services that the paths under a prefix had until a change of the configuration. */
interface FormerServices {
  readonly host: string
  readonly prefix: string
  readonly services: ReadonlySet<string>
  /** Time of the change, in milliseconds since the epoch. */
  readonly until: number
}

/** Keeps the services of paths whose services have changed for as long as streams that began before may be taken up. */
export class ServiceHistory {
  #former: readonly FormerServices[] = []

  /** Notes that a configuration takes the place of another one; returns the services from which paths were taken. */
  replace (former: RouteConfiguration, next: RouteConfiguration, now: number): ReadonlySet<string> {
    const formerTable = new RouteTable(former)
    const nextTable = new RouteTable(next)
    // The path that both routes match longest is that of the longer prefix.
    const changed = [...routesUnlike(former, next), ...routesUnlike(next, former)].flatMap(({ host, prefix }) => {
      const services = chosenServices(formerTable.find(host, prefix))
      return services.size === 0 || isSame(services, chosenServices(nextTable.find(host, prefix))) ? [] : [{ host, prefix, services, until: now }]
    })
    this.#former = [...this.#former.filter(entry => isRecent(entry, now)), ...changed]
    return new Set(changed.flatMap(({ services }) => [...services]))
  }

  /**
   * Returns the services at which a stream can have begun that may still be taken up.
   *
   * @param route the route that a path leads to now
   * @param path the path, without query
   */
  servicesOf (route: Route, path: string, now: number): ReadonlySet<string> {
    const former = this.#former.filter(entry => entry.host === route.host && path.startsWith(entry.prefix) && isRecent(entry, now))
    return new Set([...chosenServices(route), ...former.flatMap(({ services }) => [...services])])
  }
}

/** Returns the routes of a configuration for which the other one has none with the same prefix and services. */
function routesUnlike (configuration: RouteConfiguration, other: RouteConfiguration): readonly Route[] {
  const byPrefix = new Map(other.routes.map(route => [keyOf(route), route]))
  return configuration.routes.filter(route => {
    const counterpart = byPrefix.get(keyOf(route))
    return counterpart === undefined || !isSame(chosenServices(route), chosenServices(counterpart))
  })
}

function keyOf ({ host, prefix }: Route): string {
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
  return Math.abs(now - until) <= streamMemoryMilliseconds
}

import { Maybe } from 'true-myth'
import { type KeyHolder, type RelayConfiguration, type RelayRoute } from './RelayConfiguration.js'

/** Why a request is turned away before any target is looked for. */
export type RouteError = 'noRoute' | 'unknownKey'

/** Finds the route of a request and the workspace of a key in one version of the configuration. */
export class RouteTable {
  /**
   * Creates a table.
   * @param configuration - Configuration whose routes it holds.
   */
  static create (configuration: RelayConfiguration): RouteTable {
    return new RouteTable(configuration)
  }

  /** Routes of each host, the longest prefix first. */
  private readonly routesByHost = new Map<string, RelayRoute[]>()

  /** @internal */
  private constructor (readonly configuration: RelayConfiguration) {
    for (const route of configuration.routes) {
      const routes = this.routesByHost.get(route.host)
      if (routes === undefined) this.routesByHost.set(route.host, [route])
      else routes.push(route)
    }
    for (const routes of this.routesByHost.values()) routes.sort((a, b) => b.prefix.length - a.prefix.length)
  }

  /**
   * Finds the route with the longest prefix of a path.
   * @param host - Host that the caller named; its port and case do not matter.
   * @param path - Path of the request, without query.
   */
  findRoute (host: string, path: string): Maybe<RelayRoute> {
    const name = host.toLowerCase().replace(/:\d+$/, '')
    return Maybe.of(this.routesByHost.get(name)?.find(({ prefix }) => path.startsWith(prefix)))
  }

  /**
   * Finds who holds a key.
   * @param key - Key of the caller.
   */
  findKeyHolder (key: string): Maybe<KeyHolder> {
    return Maybe.of(this.configuration.keys?.get(key))
  }

  /**
   * Tells whether requests of a route need a key.
   * @param route - The route.
   */
  requiresKey (route: RelayRoute): boolean {
    return this.configuration.keys !== undefined && !route.isPublic
  }
}

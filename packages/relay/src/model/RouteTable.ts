import { Maybe } from 'true-myth'
import { type KeyHolder, type RelayConfiguration, type RelayRoute } from './RelayConfiguration.js'

/** Reason for which a request is refused before a target is selected. */
export type RouteError = 'noRoute' | 'unknownKey'

/** Looks up routes and API keys in one version of the configuration. */
export class RouteTable {
  /**
   * Creates a table.
   * @param configuration - Configuration that contains the routes.
   */
  static create (configuration: RelayConfiguration): RouteTable {
    return new RouteTable(configuration)
  }

  /** Routes by host, sorted by descending length of the prefix. */
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
   * Returns the route with the longest prefix that matches a path, if there is one.
   * @param host - Host of the request; its port and letter case are ignored.
   * @param path - Path of the request without the query.
   */
  findRoute (host: string, path: string): Maybe<RelayRoute> {
    return Maybe.of(this.routesByHost.get(normalizeHost(host))?.find(({ prefix }) => path.startsWith(prefix)))
  }

  /**
   * Returns the regions in which requests to a host may be served; undefined when it has no route, or one that allows all regions.
   * @param host - Host; its port and letter case are ignored.
   */
  findHomeRegions (host: string): readonly string[] | undefined {
    const routes = this.routesByHost.get(normalizeHost(host)) ?? []
    const lists = routes.map(({ allowedRegions = [] }) => allowedRegions)
    return lists.length === 0 || lists.some(list => list.length === 0) ? undefined : [...new Set(lists.flat())]
  }

  /**
   * Returns the workspace to which an API key belongs, if the key is known.
   * @param key - Key that the caller sent.
   */
  findKeyHolder (key: string): Maybe<KeyHolder> {
    return Maybe.of(this.configuration.keys?.get(key))
  }

  /**
   * Returns whether requests of a route need an API key.
   * @param route - The route.
   */
  requiresKey (route: RelayRoute): boolean {
    return this.configuration.keys !== undefined && !route.isPublic
  }
}

function normalizeHost (host: string): string {
  return host.toLowerCase().replace(/:\d+$/, '')
}

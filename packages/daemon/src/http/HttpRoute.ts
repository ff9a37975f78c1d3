import { type IncomingMessage, type ServerResponse } from 'node:http'

/** An HTTP request that matched a route. */
export interface RouteContext {
  readonly incoming: IncomingMessage
  readonly outgoing: ServerResponse
  /** Decoded values of the route's `*` segments, in order. */
  readonly pathParameters: readonly string[]
  readonly query: URLSearchParams
}

/** Handler for one HTTP method and path. */
export interface HttpRoute {
  readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE'
  /** Path with `*` for each variable segment. */
  readonly path: string
  readonly handle: (context: RouteContext) => void | Promise<void>
}

/** A matched route and the values of its variable segments. */
export interface RouteMatch {
  readonly route: HttpRoute
  readonly pathParameters: readonly string[]
}

/**
 * Finds the route for a method and path.
 * @param routes - All routes.
 * @param method - Method of the request.
 * @param path - Path of the request.
 * @returns The match, or `undefined` when no route matches.
 */
export function findRoute (routes: readonly HttpRoute[], method: string, path: string): RouteMatch | undefined {
  const pathSegments = path.split('/')
  for (const route of routes) {
    const routeSegments = route.path.split('/')
    if (route.method !== method || routeSegments.length !== pathSegments.length) continue
    if (!routeSegments.every((segment, index) => segment === '*' || segment === pathSegments[index])) continue
    return { route, pathParameters: pathSegments.filter((_, index) => routeSegments[index] === '*').map(decodeSegment) }
  }
  return undefined
}

function decodeSegment (segment: string): string {
  try {
    return decodeURIComponent(segment)
  } catch {
    return segment
  }
}

import { type IncomingMessage, type ServerResponse } from 'node:http'

/** One request that matched a route. */
export interface RouteContext {
  readonly incoming: IncomingMessage
  readonly outgoing: ServerResponse
  /** Decoded parts of the path, in order. */
  readonly parts: readonly string[]
  readonly query: URLSearchParams
}

/** Answers the requests of one method and path. */
export interface HttpRoute {
  readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE'
  /** Path with `*` for each part that varies. */
  readonly path: string
  readonly handle: (context: RouteContext) => void | Promise<void>
}

/** A path and the route that matched it. */
export interface RouteMatch {
  readonly route: HttpRoute
  readonly parts: readonly string[]
}

/**
 * Finds the route for a method and path.
 * @param routes - All routes.
 * @param method - Method of the request.
 * @param path - Path of the request.
 */
export function findRoute (routes: readonly HttpRoute[], method: string, path: string): RouteMatch | undefined {
  const given = path.split('/')
  for (const route of routes) {
    const wanted = route.path.split('/')
    if (route.method !== method || wanted.length !== given.length) continue
    if (!wanted.every((part, index) => part === '*' || part === given[index])) continue
    return { route, parts: given.filter((_, index) => wanted[index] === '*').map(decodePart) }
  }
  return undefined
}

function decodePart (part: string): string {
  try {
    return decodeURIComponent(part)
  } catch {
    return part
  }
}

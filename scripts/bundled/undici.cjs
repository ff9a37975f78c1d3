// The HTTP client of undici without its other parts (fetch, WebSocket, caches, mocks), whose loading delays a start.
'use strict'

const Dispatcher = require('undici/lib/dispatcher/dispatcher.js')
const sendRequest = require('undici/lib/api/api-request.js')
const { getGlobalDispatcher } = require('undici/lib/global.js')

Dispatcher.prototype.request = sendRequest

module.exports = {
  Agent: require('undici/lib/dispatcher/agent.js'),
  Client: require('undici/lib/dispatcher/client.js'),
  Pool: require('undici/lib/dispatcher/pool.js'),
  buildConnector: require('undici/lib/core/connect.js'),
  request
}

/** Sends a request to a URL, like `request` of undici. */
async function request (url, options = {}) {
  const { origin, pathname, search } = new URL(url)
  const { dispatcher = getGlobalDispatcher() } = options
  return await dispatcher.request({ ...options, origin, path: `${pathname}${search}`, method: options.method ?? (options.body ? 'PUT' : 'GET') })
}

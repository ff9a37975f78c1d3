export { FaultInjectingHttpServer, type FaultInjectingHttpServerOptions } from './FaultInjectingHttpServer.js'
export { type ErrorResponse } from './ErrorResponse.js'

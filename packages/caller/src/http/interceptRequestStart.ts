import { type Dispatcher } from 'undici'

/**
 * Returns a dispatcher that calls back when a request starts to be written to a connection. No byte of the request is
 * sent before that.
 * @param dispatcher - Dispatcher that sends the request.
 * @param onSend - Called immediately before the first byte is written.
 */
export function interceptRequestStart (dispatcher: Dispatcher, onSend: () => void): Dispatcher {
  return dispatcher.compose(dispatch => (options, handler) => dispatch(options, {
    onRequestStart: (controller, context) => {
      onSend()
      handler.onRequestStart?.(controller, context)
    },
    onResponseStart: (controller, status, headers, message) => handler.onResponseStart?.(controller, status, headers, message),
    onResponseData: (controller, chunk) => handler.onResponseData?.(controller, chunk),
    onResponseEnd: (controller, trailers) => handler.onResponseEnd?.(controller, trailers),
    onResponseError: (controller, error) => handler.onResponseError?.(controller, error)
  }))
}

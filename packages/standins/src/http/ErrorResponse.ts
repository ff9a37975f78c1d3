/** Error response of a stand-in: the HTTP status code and the error code in the body. */
export interface ErrorResponse {
  readonly status: number
  readonly error: string
}

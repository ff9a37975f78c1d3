/** Why a stand-in refused a call, with the HTTP status that it answers. */
export interface ErrorResponse {
  readonly status: number
  readonly error: string
}

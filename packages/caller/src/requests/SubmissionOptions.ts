import { type SubmitRequest } from '@fescuespoke/schema'
import { type RequestId } from '../leases/LeaseManager.js'
import { type RequestContext } from './RequestContext.js'

/** Options of a submission. */
export interface SubmissionOptions {
  readonly context: RequestContext
  readonly requestId: RequestId
  readonly input: SubmitRequest
}

import { type EndEvent } from '@fescuespoke/schema'
import { type AnswerResult } from '../answer/AnswerResult.js'
import { type RequestId } from '../leases/LeaseManager.js'
import { computeBackoffMs } from './computeBackoffMs.js'
import { type RequestContext } from './RequestContext.js'
import { classifyEndEvent } from './SubmissionResult.js'

/**
 * Cancels a request at its owner. If the owner is lost, cancels the generation through another instance. Returns
 * undefined if the request was already complete, so that its answer can still be read.
 * @param context - Context of the request.
 * @param requestId - Request id of the last submission.
 */
export async function cancelSubmission (context: RequestContext, requestId: RequestId): Promise<AnswerResult | undefined> {
  const { client, clock, random, addresses, maxAttempts } = context.dependencies
  const path = `/v1/requests/${encodeURIComponent(requestId.lease)}/${requestId.number}`
  const otherUrls = (await addresses.listUrls(context.input.service)).filter(url => url !== requestId.ownerUrl)
  const urls = [requestId.ownerUrl, ...otherUrls]
  for (let failedAttempts = 0; failedAttempts < maxAttempts; failedAttempts++) {
    await clock.sleep(computeBackoffMs(random, failedAttempts))
    const url = urls[failedAttempts % urls.length] as string
    const end = await client.cancelRequest(url, path)
    const category = end.isOk ? classifyEndEvent(end.value) : 'ownerUnreachable'
    if (category === 'ownerLost') break
    if (end.isOk && category !== 'ownerUnreachable') return convertEndEvent(end.value)
  }
  return await cancelWithoutOwner(context, otherUrls)
}

function convertEndEvent ({ outcome, reason, detail = '' }: EndEvent): AnswerResult | undefined {
  if (outcome === 'complete') return undefined
  return { outcome, reason, detail }
}

async function cancelWithoutOwner ({ dependencies, kind, buffer }: RequestContext, urls: readonly string[]): Promise<AnswerResult> {
  const resumeToken = buffer.getResumeToken()
  const detail = 'the owner of the request could not be reached'
  if (kind === 'call') return { outcome: 'unknown', reason: 'ownerUnreachable', detail }
  if (resumeToken !== undefined) {
    for (const url of urls) {
      const cancellation = await dependencies.client.cancelGeneration(url, resumeToken)
      if (cancellation.isOk) break
    }
  }
  return { outcome: 'cancelled', reason: 'cancelledByCaller', detail }
}

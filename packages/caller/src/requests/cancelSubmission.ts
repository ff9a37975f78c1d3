import { type EndEvent } from '@fescuespoke/schema'
import { type AnswerResult } from '../answer/AnswerResult.js'
import { type RequestSlot } from '../leases/LeaseBook.js'
import { computeBackoffMs } from './computeBackoffMs.js'
import { type RequestContext } from './RequestContext.js'
import { getEndMeaning } from './SubmissionEnd.js'

/**
 * Cancels a request at its owner, and its generation through another instance when the owner is lost. The result is
 * undefined when the request had ended as complete, so that its answer can still be read.
 * @param context - The request.
 * @param slot - Lease and number of its last submission.
 */
export async function cancelSubmission (context: RequestContext, slot: RequestSlot): Promise<AnswerResult | undefined> {
  const { client, clock, random, addresses, maxAttempts } = context.services
  const path = `/v1/requests/${encodeURIComponent(slot.lease)}/${slot.number}`
  const others = (await addresses.listUrls(context.input.service)).filter(url => url !== slot.ownerUrl)
  const urls = [slot.ownerUrl, ...others]
  for (let failures = 0; failures < maxAttempts; failures++) {
    await clock.sleep(computeBackoffMs(random, failures))
    const url = urls[failures % urls.length] as string
    const end = await client.cancelRequest(url, path)
    const meaning = end.isOk ? getEndMeaning(end.value) : 'ownerUnreachable'
    if (meaning === 'ownerGone') break
    if (end.isOk && meaning !== 'ownerUnreachable') return convertEnd(end.value)
  }
  return await cancelWithoutOwner(context, others)
}

function convertEnd ({ outcome, reason, detail = '' }: EndEvent): AnswerResult | undefined {
  if (outcome === 'complete') return undefined
  return { outcome, reason, detail }
}

async function cancelWithoutOwner ({ services, kind, buffer }: RequestContext, urls: readonly string[]): Promise<AnswerResult> {
  const resumeToken = buffer.getResumeToken()
  const detail = 'the owner of the request could not be reached'
  if (kind === 'call') return { outcome: 'unknown', reason: 'ownerUnreachable', detail }
  if (resumeToken !== undefined) {
    for (const url of urls) {
      const cancelled = await services.client.cancelGeneration(url, resumeToken)
      if (cancelled.isOk) break
    }
  }
  return { outcome: 'cancelled', reason: 'cancelledByCaller', detail }
}

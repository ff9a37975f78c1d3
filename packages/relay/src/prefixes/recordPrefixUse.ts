import { type RelayTarget } from '../model/RelayTarget.js'
import { estimateTokens } from '../placement/estimateTokens.js'
import { type RelayRequest } from '../requests/RelayRequest.js'
import { type Attempt, MIN_NON_SUCCESS_STATUS } from '../targets/RelayTargetClient.js'
import { type EndPrefixUse, type PromptPrefixes } from './PromptPrefixes.js'

/** An attempt at a generation. */
export interface GenerationAttempt {
  readonly target: RelayTarget
  readonly request: RelayRequest
  readonly attempt: Attempt
  /** Whether the engine continues from a copy and does not read the prompt. */
  readonly isContinuation: boolean
}

/**
 * Records the use of a prompt's parts once an engine has accepted the request.
 * @param prefixes - Prefixes that engines hold.
 * @param generation - The attempt.
 * @returns Ends the use when the attempt has ended.
 */
export function recordPrefixUse (prefixes: PromptPrefixes, { target, request, attempt, isContinuation }: GenerationAttempt): EndPrefixUse {
  let hasEnded = false
  let endUse: EndPrefixUse | undefined
  attempt.head.then(head => {
    if (hasEnded || head.isErr || head.value.status >= MIN_NON_SUCCESS_STATUS) return
    endUse = prefixes.recordUse(target, isContinuation ? [] : request.promptParts ?? [], estimateTokens(request.size, 0))
  })
  return () => {
    hasEnded = true
    endUse?.()
  }
}

import { type GenerationSize } from '../requests/RelayRequest.js'

/** Share of the output that is still expected and counted as memory, since runs end at different times. */
const EXPECTED_OUTPUT_SHARE = 0.6

/** Share of the stated maximum that is expected where no estimate was given. */
const DEFAULT_OUTPUT_SHARE = 0.5

/** Tokens of a request that states no sizes. */
const DEFAULT_REQUEST_TOKENS = 2000

/**
 * Estimates the memory that a generation will need while others run beside it, in tokens.
 * @param size - Sizes that the caller stated.
 * @param producedTokens - Tokens produced so far.
 */
export function estimateTokens (size: GenerationSize | undefined, producedTokens: number): number {
  if (size === undefined) return DEFAULT_REQUEST_TOKENS + producedTokens
  const expected = Math.min(estimateOutputTokens(size), size.maxOutputTokens)
  const remaining = Math.max(0, expected - producedTokens)
  return size.promptTokens + producedTokens + EXPECTED_OUTPUT_SHARE * remaining
}

/**
 * Estimates the output of a generation as its caller states it, in tokens; it is often far off.
 * @param size - Sizes that the caller stated.
 */
export function estimateOutputTokens ({ expectedOutputTokens, maxOutputTokens }: GenerationSize): number {
  return expectedOutputTokens ?? maxOutputTokens * DEFAULT_OUTPUT_SHARE
}

import { type GenerationSize } from '../requests/RelayRequest.js'

/** Share of the remaining expected output that counts as memory, since runs end at different times. */
const EXPECTED_OUTPUT_SHARE = 0.6

/** Share of the stated maximum output that is expected when the caller gave no estimate. */
const DEFAULT_OUTPUT_SHARE = 0.5

/** Tokens assumed for a request that states no sizes. */
const DEFAULT_REQUEST_TOKENS = 2000

/**
 * Estimates the memory that a generation will need while others run at the same time, in tokens.
 * @param size - Sizes that the caller stated.
 * @param producedTokens - Number of tokens produced so far.
 */
export function estimateTokens (size: GenerationSize | undefined, producedTokens: number): number {
  if (size === undefined) return DEFAULT_REQUEST_TOKENS + producedTokens
  const expected = Math.min(estimateOutputTokens(size), size.maxOutputTokens)
  const remaining = Math.max(0, expected - producedTokens)
  return size.promptTokens + producedTokens + EXPECTED_OUTPUT_SHARE * remaining
}

/**
 * Estimates the memory to reserve for a generation at an engine: its prompt and its whole expected output, in tokens.
 * @param size - Sizes that the caller stated.
 */
export function estimateHoldTokens (size: GenerationSize | undefined): number {
  return Math.ceil(estimateCost(size))
}

/**
 * Estimates the output of a generation from the sizes that its caller stated, in tokens; these are often far off.
 * @param size - Sizes that the caller stated.
 */
export function estimateOutputTokens ({ expectedOutputTokens, maxOutputTokens }: GenerationSize): number {
  return expectedOutputTokens ?? maxOutputTokens * DEFAULT_OUTPUT_SHARE
}

/**
 * Estimates the work of a generation, which is its prompt and its whole output, in tokens.
 * @param size - Sizes that the caller stated.
 */
export function estimateCost (size: GenerationSize | undefined): number {
  return size === undefined ? DEFAULT_REQUEST_TOKENS : size.promptTokens + Math.min(estimateOutputTokens(size), size.maxOutputTokens)
}

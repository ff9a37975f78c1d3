import { type EngineEnd, type EngineEvent, type GenerationSpec, type GenerationStatus } from '@fescuespoke/schema'

/** Receives the events of one generation in order; called synchronously. */
export type GenerationListener = (event: EngineEvent) => void

/** Why a generation ended. */
export type EndReason = EngineEnd['reason']

/** One reader of a generation. */
export interface Subscription {
  readonly listener: GenerationListener
  /** Offset of the next token that the reader wants. */
  nextOffset: number
  /** Whether anything was sent since the last heartbeat. */
  hasSentSinceHeartbeat: boolean
}

/** One run of a model at an engine. */
export interface Generation {
  readonly id: string
  readonly spec: GenerationSpec
  readonly promptTokens: number
  /** Length of the named prefix within the prompt. */
  readonly prefixTokens: number
  readonly outputTokens: number
  /** Order of arrival. */
  readonly arrivalIndex: number
  readonly subscriptions: Set<Subscription>
  state: GenerationStatus['state']
  producedTokens: number
  /** Tokens still to be computed before the next one can be produced. */
  remainingPrefillTokens: number
  /** Whether its prefix is held in the prefix cache on its behalf. */
  hasCachedPrefix: boolean
  preemptions: number
  endReason: EndReason | undefined
}

/**
 * Formats the text of one token; it tells the generation and the offset.
 * @param id - Id of the generation.
 * @param offset - Offset of the token.
 */
export function formatToken (id: string, offset: number): string {
  return `${id}:${offset}`
}

/**
 * Lists the texts of a range of tokens.
 * @param id - Id of the generation.
 * @param startOffset - First offset.
 * @param endOffset - Offset after the last.
 */
export function listTokens (id: string, startOffset: number, endOffset: number): string[] {
  return Array.from({ length: Math.max(0, endOffset - startOffset) }, (_, index) => formatToken(id, startOffset + index))
}

/**
 * Sends an event to the readers of a generation that have not got it.
 * @param generation - The generation.
 * @param event - The event.
 */
export function sendEvent (generation: Generation, event: EngineEvent): void {
  for (const subscription of generation.subscriptions) {
    subscription.hasSentSinceHeartbeat = true
    subscription.listener(event)
  }
}

/**
 * Sends the latest token to the readers of a generation.
 * @param generation - The generation.
 */
export function sendLatestToken (generation: Generation): void {
  if (generation.subscriptions.size === 0) return
  const offset = generation.producedTokens - 1
  const event: EngineEvent = { type: 'tokens', offset, tokens: [formatToken(generation.id, offset)] }
  for (const subscription of generation.subscriptions) {
    if (subscription.nextOffset > offset) continue
    subscription.nextOffset = offset + 1
    subscription.hasSentSinceHeartbeat = true
    subscription.listener(event)
  }
}

import { type EngineEnd, type EngineEvent, type GenerationSpec, type GenerationStatus } from '@fescuespoke/schema'

/** Receives the events of one generation in order. It is called synchronously. */
export type GenerationListener = (event: EngineEvent) => void

/** Reason for the end of a generation. */
export type EndReason = EngineEnd['reason']

/** Subscription to the events of a generation. */
export interface Subscription {
  readonly listener: GenerationListener
  /** Offset of the next token to send. */
  nextOffset: number
  /** Whether any event was sent since the heartbeat timer last fired. */
  hasSentSinceHeartbeat: boolean
}

/** Run of a model for one prompt. */
export interface Generation {
  readonly id: string
  readonly spec: GenerationSpec
  readonly promptTokens: number
  /** Length of the named prefix of the prompt; 0 without a prefix. */
  readonly prefixTokens: number
  /** Number of tokens after which the generation ends with reason `stop`. */
  readonly outputTokens: number
  /** Position in the order of arrival. */
  readonly arrivalIndex: number
  readonly subscriptions: Set<Subscription>
  state: GenerationStatus['state']
  producedTokens: number
  /** Number of tokens to compute before the next token can be produced. */
  remainingPrefillTokens: number
  /** Whether the generation holds a reference to its prefix in the prefix cache. */
  hasCachedPrefix: boolean
  preemptions: number
  endReason: EndReason | undefined
}

/**
 * Formats the text of a token, which contains the id of the generation and the offset.
 * @param id - Id of the generation.
 * @param offset - Offset of the token.
 */
export function formatToken (id: string, offset: number): string {
  return `${id}:${offset}`
}

/**
 * Returns the texts of a range of tokens.
 * @param id - Id of the generation.
 * @param startOffset - Offset of the first token.
 * @param endOffset - Offset after the last token.
 */
export function listTokens (id: string, startOffset: number, endOffset: number): string[] {
  return Array.from({ length: Math.max(0, endOffset - startOffset) }, (_, index) => formatToken(id, startOffset + index))
}

/**
 * Sends an event to all subscribers of a generation.
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
 * Sends the latest token to the subscribers of a generation that do not have it yet.
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

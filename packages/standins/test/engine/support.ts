import { type Clock, SeededRandom } from '@fescuespoke/common'
import { type EngineEvent, type GenerationSpec } from '@fescuespoke/schema'
import { EngineCore, type EngineOptions } from '../../src/index.js'

/** Creates an engine whose prompts have one token per character and whose generations stop after three tokens. */
export function createTestEngine (clock: Clock, options: Partial<EngineOptions> = {}): EngineCore {
  return EngineCore.create({
    clock,
    random: SeededRandom.create(1),
    targetName: 'e1',
    computePromptTokens: spec => spec.prompt.length,
    computeOutputTokens: () => 3,
    computePrefixTokens: () => 10,
    loadLagMs: 0,
    ...options
  })
}

/** Creates a generation spec with a prompt of twenty tokens. */
export function createSpec (spec: Partial<GenerationSpec> = {}): GenerationSpec {
  return { model: 'm', prompt: 'x'.repeat(20), maxTokens: 100, priority: 0, ...spec }
}

/** Starts a generation and collects its events as text. */
export function startGeneration (engine: EngineCore, id: string, spec: Partial<GenerationSpec> = {}, offset = 0): string[] {
  const events: string[] = []
  engine.startGeneration(id, createSpec(spec))
  engine.subscribe(id, offset, event => events.push(formatEvent(event)))
  return events
}

/** Formats an event as short text. */
export function formatEvent (event: EngineEvent): string {
  if (event.type === 'tokens') return `${event.offset}=${event.tokens.join(',')}`
  return event.type === 'end' ? `${event.reason} ${event.tokens}` : event.type
}

import { type EngineEvent } from '@fescuespoke/schema'
import { type EngineCore } from './EngineCore.js'

/**
 * Yields the events of a generation without HTTP. Returns after the `end` event, or immediately if the generation does
 * not exist.
 * @param core - The engine.
 * @param id - Id of the generation.
 * @param offset - Number of tokens that the caller already has.
 * @param signal - Stops the iteration early.
 */
export async function * readEvents (core: EngineCore, id: string, offset: number, signal?: AbortSignal): AsyncGenerator<EngineEvent> {
  const queue: EngineEvent[] = []
  let notifyReader = (): void => {}
  const unsubscribe = core.subscribe(id, offset, event => {
    queue.push(event)
    notifyReader()
  })
  if (unsubscribe.isNothing) return
  const handleAbort = (): void => notifyReader()
  signal?.addEventListener('abort', handleAbort)
  try {
    while (signal?.aborted !== true) {
      const event = queue.shift()
      if (event !== undefined) yield event
      if (event?.type === 'end') return
      if (queue.length === 0) await new Promise<void>(resolve => { notifyReader = resolve })
    }
  } finally {
    signal?.removeEventListener('abort', handleAbort)
    unsubscribe.value()
  }
}

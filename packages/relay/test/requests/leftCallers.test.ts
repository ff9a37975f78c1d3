import { describe, expect, it } from 'vitest'
import { runRelayedCall } from '../../src/requests/runRelayedCall.js'
import { runRelayedStream } from '../../src/requests/runRelayedStream.js'
import { createContext, createRoute, createTarget, createTestDependencies, ENGINES } from '../support/createTestDependencies.js'

/** Guards against GONE and LOST: a stream was sent to an engine although its caller had left, or its connection was closed, before. */
describe('a request that has ended before it was sent', () => {
  it.each([['once', runRelayedCall], ['idempotent', runRelayedCall], ['stream', runRelayedStream]] as const)('reaches no target: %s', async (kind, run) => {
    const dependencies = createTestDependencies()
    dependencies.table.updateTarget(createTarget('a', { service: ENGINES.name }))
    dependencies.client.scripts.set('a', [{ steps: ['id: 1\ndata: d\n\n', 'END'] }])
    const { context, endController } = createContext(createRoute({ kind, maxAttempts: 1 }), ENGINES)
    endController.abort()
    run(dependencies, context)
    await dependencies.clock.advance(1000)
    expect(dependencies.client.attempts).toHaveLength(0)
  })
})

import { VirtualClock } from '@fescuespoke/common'
import { describe, expect, it } from 'vitest'
import { createRelayComponents, type RelayComponents } from '../../src/instance/createRelayComponents.js'
import { type DecodedItem } from '../../src/published/PublishedDecoder.js'
import { type PublishedItem, type PublishedSource } from '../../src/published/PublishedItem.js'
import { createInstanceOptions, OWN_ADDRESS } from '../support/createInstanceOptions.js'
import { createRoute, createTarget, ENGINES } from '../support/createTestDependencies.js'
import { RestorableStore } from '../support/RestorableStore.js'

const ROUTE = createRoute({ kind: 'stream', isResumable: true, timeoutMs: 6000, services: [{ service: ENGINES.name, weight: 1 }] })

/** Time after which an instance has observed the targets for long enough to derive the version of a stream, in milliseconds. */
const OBSERVED_MS = 70_000

interface OutOfStepInstance {
  readonly clock: VirtualClock
  readonly store: RestorableStore
  /** Holds back the answers of the store that this instance has not read yet, as for a process that stands still. */
  hold (): void
  /** Delivers what was held back, a moment later. */
  release (): void
}

function decodeItem ({ key: name, value }: PublishedItem): DecodedItem {
  return value === undefined ? { kind: 'targetRemoved', name } : { kind: 'target', target: createTarget(name, { service: ENGINES.name, softwareVersion: value }) }
}

function applyItems ({ view, dependencies: { table } }: RelayComponents): void {
  view.addListener(items => {
    for (const decoded of items.map(decodeItem)) {
      if (decoded.kind === 'target') table.updateTarget(decoded.target)
      else if (decoded.kind === 'targetRemoved') table.handleRemoval(decoded.name)
    }
  })
}

function createHeldSource (source: PublishedSource, clock: VirtualClock, isHeld: () => boolean): PublishedSource {
  return {
    fetchPage: async (...args) => await source.fetchPage(...args),
    watchChanges: async (after, options) => {
      const answer = await source.watchChanges(after, options)
      while (isHeld()) await clock.sleep(10)
      return answer
    }
  }
}

/**
 * Lets an instance that reaches no peer observe one engine of v1 for a long time, acts, and returns the version at which it lets a
 * caller resume a stream that it does not know.
 */
async function doTest (act: (own: OutOfStepInstance) => Promise<void>): Promise<string> {
  const clock = VirtualClock.create()
  const store = RestorableStore.create({ clock, drawDelayMs: () => 4 })
  let isHeld = false
  const source = createHeldSource(store.createSource(OWN_ADDRESS), clock, () => isHeld)
  const components = createRelayComponents(createInstanceOptions(clock, { source, decodeItem }))
  applyItems(components)
  store.put('old', 'v1')
  components.watcher.run()
  components.pauseDetector.run()
  await clock.advance(OBSERVED_MS)
  await act({
    clock,
    store,
    hold: () => { isHeld = true },
    release: () => { clock.startTimer(20, () => { isHeld = false }) }
  })
  const resumed = components.dependencies.origins.findOrigin({ route: ROUTE, requestId: 'q', currentId: 'q2', deadlineAtMs: clock.nowMs() + 3000 })
  let version = 'open'
  resumed.then(origin => { version = origin?.softwareVersion ?? 'unknown' })
  await clock.advance(5000)
  components.watcher.stop()
  components.pauseDetector.stop()
  return version
}

/**
 * Guards against ORDER: an instance that was out of step let callers go on at the only version that it knew, although their streams had
 * begun at a version that had joined in the meantime.
 */
describe('an instance that lets callers resume streams', () => {
  it('lets them go on at the only version that it has observed', async () => {
    expect(await doTest(async () => {})).toBe('v1')
  })

  it('refuses them while it is cut off and another version may have joined', async () => {
    expect(await doTest(async ({ clock, store }) => {
      store.silentInstances.add(OWN_ADDRESS)
      await clock.advance(100)
      store.put('new', 'v2')
      await clock.advance(300)
    })).toBe('unknown')
  })

  it('refuses them when it stood still, without its clock, while another version joined, before it has read of it', async () => {
    expect(await doTest(async ({ clock, store, hold, release }) => {
      hold()
      store.put('new', 'v2')
      await clock.advance(100)
      release()
    })).toBe('unknown')
  })

  it('refuses them after a target has joined and left of which only the loss of history tells', async () => {
    expect(await doTest(async ({ clock, store }) => {
      store.silentInstances.add(OWN_ADDRESS)
      store.put('new', 'v2')
      await clock.advance(200)
      store.put('new')
      store.compact()
      store.silentInstances.delete(OWN_ADDRESS)
      await clock.advance(3000)
    })).toBe('unknown')
  })

  it('goes on to know both versions after it has read of the other one', async () => {
    expect(await doTest(async ({ clock, store }) => {
      store.put('new', 'v2')
      await clock.advance(3000)
      store.put('new')
      await clock.advance(10_000)
    })).toBe('unknown')
  })

  it('lets them go on again after a time in step', async () => {
    expect(await doTest(async ({ clock, store }) => {
      store.silentInstances.add(OWN_ADDRESS)
      await clock.advance(5000)
      store.silentInstances.delete(OWN_ADDRESS)
      await clock.advance(OBSERVED_MS)
    })).toBe('v1')
  })
})

import { createLogger, VirtualClock } from '@fescuespoke/common'
import { describe, expect, it } from 'vitest'
import { CrashEvidence } from '../../src/crashes/CrashEvidence.js'
import { type EngineCrash } from '../../src/crashes/EngineCrash.js'
import { DecisionLog } from '../../src/logs/DecisionLog.js'

const clock = VirtualClock.create()

function createEvidence (): CrashEvidence {
  return CrashEvidence.create({ clock, log: DecisionLog.create({ logger: createLogger({ instance: 'test', level: 'silent' }), clock }) })
}

function createCrash (index: number, change: Partial<EngineCrash> = {}): EngineCrash {
  return { target: `e${index}`, startedAtMs: 1, atMs: clock.nowMs(), suspects: [{ requestId: `q${index}`, parts: ['c', `p${index}`], hasBegun: true }], ...change }
}

/** Adds crashes and lets time pass; returns the evidence. */
async function doTest (count: number, passedMs = 0): Promise<CrashEvidence> {
  const evidence = createEvidence()
  for (let index = 0; index < count; index++) evidence.addCrash(createCrash(index), 'own')
  await clock.advance(passedMs)
  return evidence
}

describe('CrashEvidence', () => {
  it('tells a peer of crashes and of sound parts with their ages', async () => {
    const evidence = await doTest(1, 700)
    evidence.recordSoundRun(['c', 'other'], clock.nowMs())
    const crashes = evidence.listCrashNews()
    const sound = evidence.listSoundNews(crashes)
    expect([crashes, sound]).toMatchInlineSnapshot(`
      [
        [
          {
            "ageMs": 700,
            "startedAtMs": 1,
            "suspects": [
              {
                "hasBegun": true,
                "parts": [
                  "c",
                  "p0",
                ],
                "requestId": "q0",
              },
            ],
            "target": "e0",
          },
        ],
        [
          {
            "ageMs": 0,
            "part": "c",
          },
        ],
      ]
    `)
    const peer = createEvidence()
    peer.mergeNews('peer', crashes, sound)
    expect([peer.listCrashes(), peer.getSoundAtMs('c'), peer.getSoundAtMs('other')]).toEqual([evidence.listCrashes(), clock.nowMs(), undefined])
  })

  it('tells nothing of crashes of which all parts are cleared', async () => {
    const evidence = await doTest(1, 100)
    evidence.recordSoundRun(['c', 'p0'], clock.nowMs())
    await clock.advance(5000)
    expect(evidence.listCrashNews()).toEqual([])
  })

  it('tells for a while that the parts of a crash are cleared, so that peers do not count it', async () => {
    const evidence = await doTest(1, 6000)
    const peer = createEvidence()
    peer.mergeNews('peer', evidence.listCrashNews(), [])
    evidence.recordSoundRun(['c', 'p0'], clock.nowMs())
    await clock.advance(4999)
    const crashes = evidence.listCrashNews()
    peer.mergeNews('peer', crashes, evidence.listSoundNews(crashes))
    expect([peer.isImplicated('c'), peer.isImplicated('p0')]).toEqual([false, false])
  })

  it('remembers soundness of fingerprints only where a crash implicates them, apart from that of parts', async () => {
    const evidence = await doTest(0)
    evidence.recordSoundRun(['c', '=a'], clock.nowMs())
    expect([evidence.hasFingerprints(), evidence.getSoundAtMs('c'), evidence.getSoundAtMs('=a')]).toEqual([false, clock.nowMs(), undefined])
    for (let index = 0; index < 64; index++) evidence.addCrash(createCrash(index, { suspects: Array.from({ length: 16 }, (_, position) => ({ requestId: `q${index}-${position}`, parts: [`=${index}-${position}`], hasBegun: false })) }), 'own')
    evidence.recordSoundRun(Array.from({ length: 64 }, (_, index) => Array.from({ length: 16 }, (_, position) => `=${index}-${position}`)).flat(), clock.nowMs())
    expect([evidence.hasFingerprints(), evidence.getSoundAtMs('c'), evidence.getSoundAtMs('=0-0'), evidence.getSoundAtMs('=63-15')]).toEqual([true, clock.nowMs(), undefined, clock.nowMs()])
  })

  it('keeps the suspects that other crashes implicate', async () => {
    const evidence = await doTest(0)
    evidence.addCrash(createCrash(1, { suspects: [{ requestId: 'first', parts: ['=bad'], hasBegun: false }] }), 'own')
    evidence.addCrash(createCrash(2, { suspects: Array.from({ length: 40 }, (_, index) => ({ requestId: `q${index}`, parts: [index === 39 ? '=bad' : `=${index}`], hasBegun: index < 39 })) }), 'own')
    expect(evidence.listCrashes()[1]!.suspects[0]).toEqual({ requestId: 'q39', parts: ['=bad'], hasBegun: false })
  })

  it('does not let peers displace crashes of one moment by one another without end', async () => {
    const [evidence, peer] = [await doTest(0), createEvidence()]
    for (let index = 0; index < 200; index++) (index < 100 ? evidence : peer).addCrash(createCrash(index), 'own')
    let notifications = 0
    evidence.addListener(() => { notifications++ })
    for (let message = 0; message < 50; message++) evidence.mergeNews('peer', peer.listCrashNews(), [])
    expect([evidence.listCrashes().length, notifications]).toEqual([64, 0])
  })

  it('tells of the fresh crashes with each message, and of the others in turn', async () => {
    expect((await doTest(20)).listCrashNews().length).toBe(16)
    const evidence = await doTest(10, 6000)
    const told = Array.from({ length: 3 }, () => evidence.listCrashNews().map(({ target }) => target)).flat()
    expect([told.length, new Set(told).size]).toEqual([12, 10])
  })

  it('notifies listeners only of what is new', async () => {
    const evidence = await doTest(1, 50)
    let notifications = 0
    evidence.addListener(() => { notifications++ })
    const news = evidence.listCrashNews()
    evidence.mergeNews('peer', news, [])
    evidence.recordSoundRun(['unknown'], clock.nowMs())
    expect(notifications).toBe(0)
    evidence.mergeNews('peer', [{ ...news[0]!, suspects: [{ requestId: 'q9', parts: ['x'], hasBegun: false }] }], [])
    evidence.recordSoundRun(['c'], clock.nowMs())
    expect(notifications).toBe(2)
  })

  it('remembers a bounded number of crashes, and those of blamed parts longest', async () => {
    const evidence = await doTest(3)
    evidence.setProtectedParts(new Set(['p0']))
    for (let index = 3; index < 100; index++) {
      await clock.advance(1000)
      evidence.addCrash(createCrash(index), 'peer')
    }
    const targets = evidence.listCrashes().map(({ target }) => target)
    expect([targets.length, targets[0], targets[1]]).toEqual([64, 'e0', 'e37'])
  })

  it('remembers a bounded number of suspects and sound parts', async () => {
    const evidence = await doTest(0)
    evidence.addCrash(createCrash(1, { suspects: Array.from({ length: 40 }, (_, index) => ({ requestId: `q${index}`, parts: ['c'], hasBegun: index >= 30 })) }), 'own')
    evidence.recordSoundRun(Array.from({ length: 300 }, (_, index) => `s${index}`), clock.nowMs())
    const { suspects } = evidence.listCrashes()[0]!
    expect([suspects.length, suspects.filter(({ hasBegun }) => hasBegun).length, evidence.getSoundAtMs('s0'), evidence.getSoundAtMs('s44') !== undefined]).toEqual([16, 10, undefined, true])
  })

  it('forgets crashes after a quarter of an hour', async () => {
    expect((await doTest(1, 899_999)).listCrashes().length).toBe(1)
    expect((await doTest(1, 900_000)).listCrashes().length).toBe(0)
  })
})

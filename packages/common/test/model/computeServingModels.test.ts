import { describe, expect, it } from 'vitest'
import { computeServingModels } from '../../src/index.js'

/** Each target is described by the versions that it has; a version in parentheses is still loading. */
function doTest (copies: number, ...targets: Array<string | undefined>): string[] {
  const modelsByTarget = new Map(targets.map((text, index) => [`t${index + 1}`, text === undefined ? undefined : parseModels(text)]))
  return [...computeServingModels({ model: 'm', version: '2' }, copies, modelsByTarget)].map(([target, { version }]) => `${target} ${version}`)
}

function parseModels (text: string) {
  return text.split(' ').filter(Boolean).map(version => version.startsWith('(')
    ? { model: 'm', version: version.slice(1, -1), state: 'loading' as const }
    : { model: 'm', version, state: 'ready' as const })
}

describe('computeServingModels', () => {
  it('serves the desired version', () => expect(doTest(2, '2', '1 2')).toEqual(['t1 2', 't2 2']))

  it('continues to serve another version until half of the copies are ready', () =>
    expect(doTest(4, '1 2', '1 (2)', '1', '')).toEqual(['t1 2', 't2 1', 't3 1']))

  it('stops serving other versions once half of the copies are ready', () =>
    expect(doTest(4, '1 2', '1 2', '1 (2)', '1')).toEqual(['t1 2', 't2 2']))

  it('excludes a target without a ready model', () => expect(doTest(2, '(2)', '')).toEqual([]))

  it('assumes that a target that does not list its models has all of them', () => expect(doTest(1, undefined)).toEqual(['t1 2']))

  it('does not serve another model or adapter', () => {
    const modelsByTarget = new Map([['t1', [{ model: 'x', state: 'ready' as const }, { model: 'm', adapter: 'a', state: 'ready' as const }]]])
    expect([...computeServingModels({ model: 'm' }, 1, modelsByTarget)]).toEqual([])
  })
})

import { describe, expect, it } from 'vitest'
import { computeServingModels } from '../../src/index.js'

/** Each target is written as the versions that it holds; a version in brackets is being loaded. */
function doTest (copies: number, ...targets: Array<string | undefined>): string[] {
  const held = new Map(targets.map((text, index) => [`t${index + 1}`, text === undefined ? undefined : parseModels(text)]))
  return [...computeServingModels({ model: 'm', version: '2' }, copies, held)].map(([target, { version }]) => `${target} ${version}`)
}

function parseModels (text: string) {
  return text.split(' ').filter(Boolean).map(version => version.startsWith('(')
    ? { model: 'm', version: version.slice(1, -1), state: 'loading' as const }
    : { model: 'm', version, state: 'ready' as const })
}

describe('computeServingModels', () => {
  it('serves with the wanted version', () => expect(doTest(2, '2', '1 2')).toEqual(['t1 2', 't2 2']))

  it('goes on with another version until half of the copies are ready', () =>
    expect(doTest(4, '1 2', '1 (2)', '1', '')).toEqual(['t1 2', 't2 1', 't3 1']))

  it('leaves other versions once half of the copies are ready', () =>
    expect(doTest(4, '1 2', '1 2', '1 (2)', '1')).toEqual(['t1 2', 't2 2']))

  it('leaves out a target that holds nothing ready', () => expect(doTest(2, '(2)', '')).toEqual([]))

  it('takes a target that does not list its models to have all', () => expect(doTest(1, undefined)).toEqual(['t1 2']))

  it('does not serve with another model or adapter', () => {
    const held = new Map([['t1', [{ model: 'x', state: 'ready' as const }, { model: 'm', adapter: 'a', state: 'ready' as const }]]])
    expect([...computeServingModels({ model: 'm' }, 1, held)]).toEqual([])
  })
})

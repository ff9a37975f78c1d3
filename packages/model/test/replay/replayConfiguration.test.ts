import { describe, expect, it } from 'vitest'
import { configurationModel, type ConfigurationState } from '../../src/index.js'
import { createWalk } from '../support/createWalk.js'
import { createRealValues, describeRecords, RealRecords } from '../support/RealRecords.js'

const WALKS = 100
const STEPS = 40

/** Takes a step on the real views; what is on its way is kept by what the model calls it. */
async function takeStep (real: RealRecords, name: string, state: ConfigurationState): Promise<void> {
  const [action, parameter = '', revision = '', values = ''] = name.split(' ')
  const instance = Number(parameter)
  if (action === 'restart') real.restart(instance)
  if (action === 'receive') real.receive(instance, { revision: Number(revision), values: createRealValues(values.split(',').map(Number)) })
  if (action !== 'askPeer') return
  const answer = await real.askPeer(instance)
  const peer = state.views[1 - instance] as ConfigurationState['views'][number]
  expect(answer).toEqual({ revision: peer.revision, values: createRealValues(peer.values) })
}

describe('the views of the records', () => {
  it('take the steps of the model', async () => {
    for (let seed = 1; seed <= WALKS; seed++) {
      const { names, states } = createWalk({ model: configurationModel, initial: configurationModel.listInitial()[0] as ConfigurationState, seed, length: STEPS })
      const real = new RealRecords()
      for (const [index, name] of names.entries()) {
        await takeStep(real, name, states[index] as ConfigurationState)
        expect(`${seed} ${name}: ${real.describe()}`).toBe(`${seed} ${name}: ${describeRecords(states[index + 1] as ConfigurationState)}`)
      }
    }
  })

  it('ignore a revision that is lower than the accepted one', () => {
    const real = new RealRecords()
    real.receive(0, { revision: 2, values: createRealValues([0, 1]) })
    real.receive(0, { revision: 1, values: createRealValues([1, 1]) })
    expect(real.describe()).toBe('2 0,1 0,1; 0 0,0 0,0')
  })
})

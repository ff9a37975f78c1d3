import { describe, expect, it } from 'vitest'
import { configurationModel, type ConfigurationState } from '../../src/index.js'
import { createWalk } from '../support/createWalk.js'
import { createPublishedValues, describeModelRecords, RecordsDriver } from '../support/RecordsDriver.js'

const WALK_COUNT = 100
const MAX_STEPS = 40

/** Executes a step on the product's views. Messages in transit are created from the parameters of the step that receives them. */
async function executeStep (driver: RecordsDriver, name: string, state: ConfigurationState): Promise<void> {
  const [action, parameter = '', revision = '', values = ''] = name.split(' ')
  const instance = Number(parameter)
  if (action === 'restart') driver.restart(instance)
  if (action === 'receive') driver.receive(instance, { revision: Number(revision), values: createPublishedValues(values.split(',').map(Number)) })
  if (action !== 'pollPeer') return
  const message = await driver.pollPeer(instance)
  const peer = state.views[1 - instance] as ConfigurationState['views'][number]
  expect(message).toEqual({ revision: peer.revision, values: createPublishedValues(peer.values) })
}

describe('ConfigurationView', () => {
  it('matches the model for revisions, values and active workspaces', async () => {
    for (let seed = 1; seed <= WALK_COUNT; seed++) {
      const { stepNames, states } = createWalk({ model: configurationModel, initial: configurationModel.listInitialStates()[0] as ConfigurationState, seed, maxSteps: MAX_STEPS })
      const driver = new RecordsDriver()
      for (const [index, name] of stepNames.entries()) {
        await executeStep(driver, name, states[index] as ConfigurationState)
        expect(`${seed} ${name}: ${driver.describe()}`).toBe(`${seed} ${name}: ${describeModelRecords(states[index + 1] as ConfigurationState)}`)
      }
    }
  })

  it('ignores a revision that is lower than the accepted one', () => {
    const driver = new RecordsDriver()
    driver.receive(0, { revision: 2, values: createPublishedValues([0, 1]) })
    driver.receive(0, { revision: 1, values: createPublishedValues([1, 1]) })
    expect(driver.describe()).toBe('2 0,1 0,1; 0 0,0 0,0')
  })
})

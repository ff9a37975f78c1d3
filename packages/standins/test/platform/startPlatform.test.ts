import { createValidator, type PublishedList, type PublishedValues, type TargetState } from '@fescuespoke/schema'
import { describe, expect, it } from 'vitest'
import { request } from 'undici'
import { type DeploymentName, startPlatform } from '../../src/index.js'

describe('startPlatform', () => {
  function countProblems (record: AnyRecord): number {
    const { schemaVersion, kind } = record
    const definition = `${kind.slice(0, 1).toUpperCase()}${kind.slice(1)}V${schemaVersion}`
    const result = createValidator(schemaVersion === 1 ? 'records1' : 'records2', definition)(record)
    return result.isOk ? 0 : result.error.length
  }

  async function read<T> (url: string): Promise<T> {
    return await (await request(url)).body.json() as T
  }

  interface AnyRecord {
    readonly schemaVersion: number
    readonly kind: string
    readonly url?: string
  }

  function doTest (deploymentName: DeploymentName): void {
    it(`publishes valid records of ${deploymentName} and starts its targets`, async () => {
      const platform = await startPlatform({ spec: deploymentName })
      const { values } = await read<PublishedValues>(`${platform.configuration.url}/v1/snapshot`)
      const records = Object.values(values).map(text => JSON.parse(text) as AnyRecord)
      const list = await read<PublishedList>(`${platform.instanceList.url}/v1/instances`)
      const states = await Promise.all(list.entries.map(async ({ url }) => await read<TargetState>(`${url}/v1/state`)))
      await platform.close()
      expect(records.filter(record => countProblems(record) > 0)).toEqual([])
      expect(states.map(state => state.target)).toEqual(list.entries.map(entry => entry.id))
      expect(countByKind(records)).toMatchSnapshot()
    })
  }

  function countByKind (records: readonly AnyRecord[]): Record<string, number> {
    const counts: Record<string, number> = {}
    for (const { kind, schemaVersion } of records) {
      const key = `${kind} of version ${schemaVersion}`
      counts[key] = (counts[key] ?? 0) + 1
    }
    return counts
  }

  doTest('spas')
  doTest('garages')

  it('shows a leaving target in its state and in the instance list', async () => {
    const platform = await startPlatform({ spec: 'garages' })
    platform.deployment.setLeaving('leases-1')
    const list = await read<PublishedList>(`${platform.instanceList.url}/v1/instances`)
    const state = await read<TargetState>(`${platform.engines.get('leases-1')?.url ?? ''}/v1/state`)
    await platform.close()
    expect([list.entries.find(({ id }) => id === 'leases-1')?.state, state.state]).toEqual(['leaving', 'leaving'])
  })
})

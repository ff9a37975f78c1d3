import { type Clock } from '@fescuespoke/common'
import { checkList, type ConfigurationSource, type InstanceListSource, type SourceError } from '@fescuespoke/configuration'
import { type Deployment } from '@fescuespoke/standins'
import { Result } from 'true-myth'
import { type Links } from './Links.js'

const LATENCY_MS = 2
const TIMEOUT_MS = 1000
const UNREACHABLE: SourceError = { kind: 'unreachable', detail: 'no answer' }

export interface PlatformSourcesOptions {
  readonly instance: string
  readonly clock: Clock
  readonly links: Links
  readonly deployment: Deployment
}

/** Name of the platform as an endpoint of links. */
export const PLATFORM = 'platform'

/** Creates sources that read the platform stand-ins in memory. */
export function createPlatformSources (options: PlatformSourcesOptions): { configurationSource: ConfigurationSource, instanceListSource: InstanceListSource } {
  const { configuration, instanceList: instances } = options.deployment
  return {
    configurationSource: {
      fetchSnapshot: async () => await exchange(options, async () => configuration.readSnapshot()),
      fetchChange: async (after, waitMs, signal) => await exchange(options, async () => await configuration.watch(after, waitMs, signal))
    },
    instanceListSource: {
      fetchList: async (after, waitMs, signal) => {
        const list = await exchange(options, async () => await instances.watch(after, waitMs, signal))
        return list.andThen(value => checkList(value).mapErr(() => UNREACHABLE))
      }
    }
  }
}

async function exchange<T> (options: PlatformSourcesOptions, read: () => Promise<Result<T, unknown>>): Promise<Result<T, SourceError>> {
  const { links, instance, clock } = options
  const connection = links.connect(instance, PLATFORM)
  await clock.sleep(LATENCY_MS)
  if (connection.canDeliver()) {
    const answer = await read()
    await clock.sleep(LATENCY_MS)
    if (connection.canDeliver()) return answer.mapErr(() => UNREACHABLE)
  }
  await clock.sleep(TIMEOUT_MS)
  return Result.err(UNREACHABLE)
}

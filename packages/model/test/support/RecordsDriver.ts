import { type AnyPeerMessage, AuditTrail, type PeerHandler, type PeerTransport, VirtualClock } from '@fescuespoke/common'
import { ConfigurationView } from '@fescuespoke/configuration'
import { Result } from 'true-myth'
import { ConfigurationExchange } from '../../../configuration/src/sync/ConfigurationExchange.js'
import { SourceMonitor } from '../../../configuration/src/sync/SourceMonitor.js'
import { type ConfigurationState } from '../../src/index.js'

const KEYS = ['workspace/a', 'workspace/b']

type Values = Record<string, string>
type Handlers = Map<string, PeerHandler<any>>

/** A state of the records that an instance received. */
interface RecordsMessage {
  readonly revision: number
  readonly values: Values
}

/** Drives the product's configuration views of two instances through the steps of a trace. */
export class RecordsDriver {
  private readonly clock = VirtualClock.create()
  private readonly audit = AuditTrail.create({ instance: 'i', incarnation: '1', capacity: 10 })
  private views = [this.createView(), this.createView()]

  /** Polls the other instance, and returns the revision and values that the exchange passes to the view. */
  async pollPeer (instance: number): Promise<RecordsMessage> {
    const localView = this.createView()
    const currentView = this.views[instance] as ConfigurationView
    if (currentView.getRevision() > 0) localView.update(currentView.getValues(), currentView.getRevision(), 'copy')
    const handlers: Handlers = new Map()
    this.createExchange(this.views[1 - instance] as ConfigurationView, handlers)
    await this.createExchange(localView, new Map(), handlers).pollPeer('peer')
    return { revision: localView.getRevision(), values: { ...localView.getValues() } }
  }

  receive (instance: number, { revision, values }: RecordsMessage): void {
    (this.views[instance] as ConfigurationView).update(values, revision, 'trace')
  }

  restart (instance: number): void {
    this.views[instance] = this.createView()
  }

  /** Describes the revision, the values and the weights of the active workspaces of both instances. */
  describe (): string {
    return this.views.map(view => {
      const values = KEYS.map(key => parseWeight(view.getValues()[key]))
      const activeWeights = KEYS.map(key => view.getSnapshot().workspaces.get(key.slice(-1))?.weight ?? 0)
      return `${view.getRevision()} ${values.join()} ${activeWeights.join()}`
    }).join('; ')
  }

  private createView (): ConfigurationView {
    return ConfigurationView.create({ clock: this.clock, audit: this.audit })
  }

  private createExchange (view: ConfigurationView, localHandlers: Handlers, peerHandlers: Handlers = new Map()): ConfigurationExchange {
    const { clock, audit } = this
    const monitor = SourceMonitor.create({ audit, subject: 'records', getRevision: () => view.getRevision() })
    return ConfigurationExchange.create({ view, clock, monitor, transport: createTransport(localHandlers, peerHandlers) })
  }
}

function createTransport (localHandlers: Handlers, peerHandlers: Handlers): PeerTransport {
  return {
    setHandler: (type, handler) => { localHandlers.set(type, handler) },
    request: async (_instance, message: AnyPeerMessage) => {
      const answer = await peerHandlers.get(message.type)?.(message, 'asker')
      return answer === undefined ? Result.err('unreachable') : Result.ok(answer as never)
    }
  }
}

/** Creates published values. Each key is a workspace whose weight is the model's value; a value of 0 means that the key is absent. */
export function createPublishedValues (values: readonly number[]): Values {
  const entries = KEYS.flatMap((key, index) => values[index] === 0 ? [] : [[key, createWorkspace(key.slice(-1), values[index] as number)]])
  return Object.fromEntries(entries) as Values
}

function createWorkspace (name: string, weight: number): string {
  return JSON.stringify({ schemaVersion: 2, kind: 'workspace', name, weight })
}

function parseWeight (text: string | undefined): number {
  return text === undefined ? 0 : (JSON.parse(text) as { weight: number }).weight
}

/** Describes a state of the model in the format of {@link RecordsDriver.describe}. */
export function describeModelRecords ({ views }: ConfigurationState): string {
  return views.map(({ revision, values }) => `${revision} ${values.join()} ${values.join()}`).join('; ')
}

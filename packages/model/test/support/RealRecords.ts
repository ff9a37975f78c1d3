import { type AnyPeerMessage, AuditTrail, type PeerHandler, type PeerTransport, VirtualClock } from '@fescuespoke/common'
import { ConfigurationView } from '@fescuespoke/configuration'
import { Result } from 'true-myth'
import { ConfigurationExchange } from '../../../configuration/src/sync/ConfigurationExchange.js'
import { SourceMonitor } from '../../../configuration/src/sync/SourceMonitor.js'
import { type ConfigurationState } from '../../src/index.js'

const KEYS = ['workspace/a', 'workspace/b']

type Values = Record<string, string>
type Handlers = Map<string, PeerHandler<any>>

/** A state of the records that an instance has been answered with. */
interface RealMessage {
  readonly revision: number
  readonly values: Values
}

/** The code of two instances' views of the records under the steps of a trace. */
export class RealRecords {
  private readonly clock = VirtualClock.create()
  private readonly audit = AuditTrail.create({ instance: 'i', incarnation: '1', capacity: 10 })
  private views = [this.createView(), this.createView()]

  /** Asks the other instance, and returns the values that the exchange would offer. */
  async askPeer (instance: number): Promise<RealMessage> {
    const asker = this.createView()
    const own = this.views[instance] as ConfigurationView
    if (own.getRevision() > 0) asker.update(own.getValues(), own.getRevision(), 'copy')
    const handlers: Handlers = new Map()
    this.createExchange(this.views[1 - instance] as ConfigurationView, handlers)
    await this.createExchange(asker, new Map(), handlers).pollPeer('peer')
    return { revision: asker.getRevision(), values: { ...asker.getValues() } }
  }

  receive (instance: number, { revision, values }: RealMessage): void {
    (this.views[instance] as ConfigurationView).update(values, revision, 'trace')
  }

  restart (instance: number): void {
    this.views[instance] = this.createView()
  }

  /** Describes revision, values and the workspaces in force of both instances. */
  describe (): string {
    return this.views.map(view => {
      const values = KEYS.map(key => parseWeight(view.getValues()[key]))
      const inForce = KEYS.map(key => view.getSnapshot().workspaces.get(key.slice(-1))?.weight ?? 0)
      return `${view.getRevision()} ${values.join()} ${inForce.join()}`
    }).join('; ')
  }

  private createView (): ConfigurationView {
    return ConfigurationView.create({ clock: this.clock, audit: this.audit })
  }

  private createExchange (view: ConfigurationView, own: Handlers, peer: Handlers = new Map()): ConfigurationExchange {
    const { clock, audit } = this
    const monitor = SourceMonitor.create({ audit, subject: 'records', getRevision: () => view.getRevision() })
    return ConfigurationExchange.create({ view, clock, monitor, transport: createTransport(own, peer) })
  }
}

function createTransport (own: Handlers, peer: Handlers): PeerTransport {
  return {
    setHandler: (type, handler) => { own.set(type, handler) },
    request: async (_instance, message: AnyPeerMessage) => {
      const answer = await peer.get(message.type)?.(message, 'asker')
      return answer === undefined ? Result.err('unreachable') : Result.ok(answer as never)
    }
  }
}

/** Creates published values in which each key is a workspace whose weight is the model's value. */
export function createRealValues (values: readonly number[]): Values {
  const present = KEYS.flatMap((key, index) => values[index] === 0 ? [] : [[key, createWorkspace(key.slice(-1), values[index] as number)]])
  return Object.fromEntries(present) as Values
}

function createWorkspace (name: string, weight: number): string {
  return JSON.stringify({ schemaVersion: 2, kind: 'workspace', name, weight })
}

function parseWeight (text: string | undefined): number {
  return text === undefined ? 0 : (JSON.parse(text) as { weight: number }).weight
}

/** Describes a state of the model like {@link RealRecords.describe}. */
export function describeRecords ({ views }: ConfigurationState): string {
  return views.map(({ revision, values }) => `${revision} ${values.join()} ${values.join()}`).join('; ')
}

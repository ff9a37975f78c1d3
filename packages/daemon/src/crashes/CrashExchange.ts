import { type PeerTransport, rankByRendezvous } from '@fescuespoke/common'
import { type ListedEntry } from '@fescuespoke/schema'
import { type CrashRecords } from './CrashRecords.js'

/** Options of a crash exchange. */
export interface CrashExchangeOptions {
  /** Name of this instance. */
  readonly instance: string
  readonly records: CrashRecords
  readonly transport: PeerTransport
  /** Lists the published instances and targets. */
  readonly listEntries: () => readonly ListedEntry[]
}

/** Number of peers that an instance asks when it starts, and maximum time to wait for their answers, in milliseconds. */
const ASKED_PEERS = 3
const ANSWER_TIMEOUT_MS = 300

/** Lets an instance that starts learn the crashes that its peers remember. */
export class CrashExchange {
  /**
   * Creates an exchange that answers peers.
   * @param options - Options of the exchange.
   */
  static create (options: CrashExchangeOptions): CrashExchange {
    return new CrashExchange(options)
  }

  /** @internal */
  private constructor (private readonly options: CrashExchangeOptions) {
    const { transport, records } = options
    transport.setHandler('crashesRequest', () => ({ type: 'crashesAnswer', ...records.createCompleteNews() }))
  }

  /** Asks a few published instances for the crashes that they remember. Those that do not answer are skipped. */
  async fetchCrashes (): Promise<void> {
    const { instance, listEntries } = this.options
    const peers = listEntries().filter(({ id, role }) => role === 'entry' && id !== instance).map(({ id }) => id)
    await Promise.all(rankByRendezvous(instance, peers).slice(0, ASKED_PEERS).map(async peer => { await this.fetchFromPeer(peer) }))
  }

  private async fetchFromPeer (peer: string): Promise<void> {
    const { transport, records } = this.options
    const answer = await transport.request<'crashesAnswer'>(peer, { type: 'crashesRequest' }, ANSWER_TIMEOUT_MS)
    if (answer.isOk) records.mergeNews(peer, answer.value)
  }
}

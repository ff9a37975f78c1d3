import { type MemberState } from '@fescuespoke/schema'
import { Maybe } from 'true-myth'
import { type GossipExchange } from './GossipExchange.js'
import { type MembershipLimits, type MembershipOptions } from './MembershipOptions.js'
import { pickSample } from './ProbeOrder.js'

interface StateTransition {
  readonly state: MemberState
  readonly cause: string
}

/** New state of a member that did not answer direct and indirect probes, by its current state. */
const PROBE_FAILURE_TRANSITIONS: Partial<Record<MemberState, StateTransition>> = {
  alive: { state: 'suspect', cause: 'no answer to probes' },
  leaving: { state: 'dead', cause: 'no answer to probes after announcing that it leaves' }
}

/** Options of a prober. @internal */
export interface ProberOptions {
  readonly membership: MembershipOptions
  readonly limits: MembershipLimits
  readonly gossip: GossipExchange
  /** Called after a member was found not to answer. */
  readonly onFailure: () => void
  /** Aborted when the membership stops; members are not updated afterwards. */
  readonly signal: AbortSignal
}

/** Probes members directly and indirectly, and updates the state of those that do not answer. @internal */
export class Prober {
  /**
   * Creates a prober.
   * @param options - Options of the prober.
   */
  static create (options: ProberOptions): Prober {
    return new Prober(options)
  }

  /** @internal */
  private constructor (private readonly options: ProberOptions) {}

  /**
   * Sends a probe and returns whether it was answered.
   * @param instance - Name of the instance.
   */
  async sendPing (instance: string): Promise<boolean> {
    const { membership: { transport, clock }, limits, gossip, signal } = this.options
    const sentAtMs = clock.nowMs()
    const answer = await transport.request<'pingAnswer'>(instance, { type: 'ping', news: gossip.createGossip(instance) }, limits.probeTimeoutMs)
    if (answer.isOk && !signal.aborted) gossip.mergeGossip(instance, answer.value.news, Maybe.just(sentAtMs))
    return answer.isOk
  }

  /**
   * Probes a member directly. If it does not answer, requests other members to probe it. If they do not reach it
   * either, marks it as suspect, or as dead if it was leaving.
   * @param instance - Name of the member.
   * @returns Whether it was reached.
   */
  async probeMember (instance: string): Promise<boolean> {
    const { clock } = this.options.membership
    const startedAtMs = clock.nowMs()
    if (await this.sendPing(instance)) return true
    if (await this.sendIndirectPings(instance)) return true
    this.handleProbeFailure(instance, clock.nowMs() - startedAtMs)
    return false
  }

  private async sendIndirectPings (instance: string): Promise<boolean> {
    const { membership: { transport, random }, limits, gossip } = this.options
    const intermediaries = pickSample(random, gossip.table.listNames(['alive']).filter(name => name !== instance), limits.indirectProbeCount)
    const answers = await Promise.all(intermediaries.map(async intermediary =>
      await transport.request<'indirectPingAnswer'>(intermediary, { type: 'indirectPing', instance }, 2 * limits.probeTimeoutMs)))
    return answers.some(answer => answer.isOk && answer.value.reached)
  }

  private handleProbeFailure (instance: string, elapsedMs: number): void {
    const { limits, gossip: { table }, onFailure, signal } = this.options
    const maxProbeMs = 3 * limits.probeTimeoutMs
    // After a pause of the local process, answers may be waiting unread, so the state is not changed.
    const wasPaused = elapsedMs > maxProbeMs + limits.probeTimeoutMs / 2
    const member = table.get(instance)
    if (member === undefined || wasPaused || signal.aborted) return
    const transition = PROBE_FAILURE_TRANSITIONS[member.state]
    if (transition === undefined) return
    table.setState(instance, transition.state, transition.cause)
    onFailure()
  }
}

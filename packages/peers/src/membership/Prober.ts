import { type MemberState } from '@fescuespoke/schema'
import { Maybe } from 'true-myth'
import { type MembershipLimits, type MembershipOptions } from './MembershipOptions.js'
import { type NewsExchange } from './NewsExchange.js'
import { pickSome } from './ProbeOrder.js'

interface Judgement {
  readonly state: MemberState
  readonly cause: string
}

/** What is believed of a member that answers no probe, by its state so far. */
const SILENCE_JUDGEMENTS: Partial<Record<MemberState, Judgement>> = {
  alive: { state: 'suspect', cause: 'no answer to probes' },
  leaving: { state: 'dead', cause: 'no answer to probes after it announced that it leaves' }
}

/** Options of a prober. @internal */
export interface ProberOptions {
  readonly membership: MembershipOptions
  readonly limits: MembershipLimits
  readonly exchange: NewsExchange
  /** Ends the judging of members. */
  readonly signal: AbortSignal
}

/** Probes members, itself and through others, and judges those that do not answer. @internal */
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
   * Sends a probe and tells whether it was answered.
   * @param instance - Name of the instance.
   */
  async sendPing (instance: string): Promise<boolean> {
    const { membership: { transport, clock }, limits, exchange, signal } = this.options
    const sentAtMs = clock.nowMs()
    const answer = await transport.request<'pingAnswer'>(instance, { type: 'ping', news: exchange.createNews(instance) }, limits.probeTimeoutMs)
    if (answer.isOk && !signal.aborted) exchange.observeNews(instance, answer.value.news, Maybe.just(sentAtMs))
    return answer.isOk
  }

  /**
   * Probes a member, asks others to probe it when it is silent, and judges it when they do not reach it either.
   * @param instance - Name of the member.
   */
  async probeMember (instance: string): Promise<void> {
    const { clock } = this.options.membership
    const startedMs = clock.nowMs()
    if (await this.sendPing(instance)) return
    if (await this.sendIndirectPings(instance)) return
    this.judgeSilence(instance, clock.nowMs() - startedMs)
  }

  private async sendIndirectPings (instance: string): Promise<boolean> {
    const { membership: { transport, random }, limits, exchange } = this.options
    const helpers = pickSome(random, exchange.table.listNames(['alive']).filter(name => name !== instance), limits.indirectProbes)
    const answers = await Promise.all(helpers.map(async helper =>
      await transport.request<'indirectPingAnswer'>(helper, { type: 'indirectPing', instance }, 2 * limits.probeTimeoutMs)))
    return answers.some(answer => answer.isOk && answer.value.reached)
  }

  private judgeSilence (instance: string, elapsedMs: number): void {
    const { limits, exchange: { table }, signal } = this.options
    const longestMs = 3 * limits.probeTimeoutMs
    // Answers that came during an own pause may wait unread, so nothing is concluded.
    const wasPaused = elapsedMs > longestMs + limits.probeTimeoutMs / 2
    const member = table.get(instance)
    if (member === undefined || wasPaused || signal.aborted) return
    const judgement = SILENCE_JUDGEMENTS[member.state]
    if (judgement !== undefined) table.setState(instance, judgement.state, judgement.cause)
  }
}

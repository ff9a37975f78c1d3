import { type AnyPeerMessage, type Clock, type PeerError, type PeerHandler, type PeerMessageOf, type PeerMessageType, type PeerTransport } from '@fescuespoke/common'
import { Result } from 'true-myth'

type AnyHandler = (message: AnyPeerMessage, from: string) => AnyPeerMessage | undefined | Promise<AnyPeerMessage | undefined>

/** Simulated network that transfers messages between instances with a latency and can be split. */
export class FakeNetwork {
  static create (clock: Clock): FakeNetwork {
    return new FakeNetwork(clock)
  }

  readonly handlers = new Map<string, Map<string, AnyHandler>>()
  requests = 0
  private groups: ReadonlyArray<ReadonlySet<string>> | undefined

  private constructor (private readonly clock: Clock) {}

  /** Splits the network into groups that cannot reach each other. Without groups, ends the split. */
  split (...groups: string[][]): void {
    this.groups = groups.length === 0 ? undefined : groups.map(group => new Set(group))
  }

  createTransport (self: string): PeerTransport {
    const handlers = new Map<string, AnyHandler>()
    this.handlers.set(self, handlers)
    return {
      request: async (instance, message, timeoutMs) => await this.request(self, instance, message, timeoutMs),
      setHandler: <T extends PeerMessageType>(type: T, handler: PeerHandler<T>) => { handlers.set(type, handler as unknown as AnyHandler) }
    }
  }

  private async request<T extends PeerMessageType> (
    from: string, to: string, message: AnyPeerMessage, timeoutMs: number
  ): Promise<Result<PeerMessageOf<T>, PeerError>> {
    this.requests++
    await this.clock.sleep(1)
    const handler = this.handlers.get(to)?.get(message.type)
    if (handler === undefined) return Result.err('unreachable')
    const answer = this.canReach(from, to) ? await handler(structuredClone(message), from) : undefined
    await this.clock.sleep(answer === undefined ? timeoutMs : 1)
    if (answer === undefined || !this.canReach(from, to)) return Result.err('timeout')
    return Result.ok(structuredClone(answer) as PeerMessageOf<T>)
  }

  private canReach (from: string, to: string): boolean {
    return this.groups === undefined || this.groups.some(group => group.has(from) && group.has(to))
  }
}

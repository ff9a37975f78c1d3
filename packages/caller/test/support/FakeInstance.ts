import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { type AddressInfo } from 'node:net'
import { text } from 'node:stream/consumers'
import { type StreamEvent } from '@fescuespoke/schema'

/** One step of a scripted answer: an event, an HTTP error, or what happens to the connection. */
export type Step = StreamEvent | { readonly status: number, readonly body: unknown } | 'cut' | 'silence' | 'stop' | 'garbage'

/** Answers of a fake to one kind of request, one for each time it is asked; the last one is repeated. */
export type Script = ReadonlyArray<readonly Step[]>

/** Scripts by method and first part of the path, for instance `PUT requests`. */
export type Scripts = Readonly<Record<string, Script>>

export interface FakeInstanceOptions {
  readonly name: string
  /** Receives a line for each request. */
  readonly log: string[]
  /** Runs when a script falls silent. */
  readonly onSilence?: () => void
}

/** An instance whose answers are scripted. */
export class FakeInstance {
  static async start (options: FakeInstanceOptions): Promise<FakeInstance> {
    const server = createServer()
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    return new FakeInstance(options, server)
  }

  readonly url: string
  scripts: Scripts = {}
  private readonly asked = new Map<string, number>()

  private constructor (private readonly options: FakeInstanceOptions, private readonly server: Server) {
    this.url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`
    server.on('request', (request, response) => {
      this.answerRequest(request, response).catch(error => response.destroy(error))
    })
  }

  async stop (): Promise<void> {
    this.server.closeAllConnections()
    await new Promise(resolve => { this.server.close(resolve) })
  }

  private async answerRequest (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await text(request)
    const url = request.url ?? ''
    const [, , kind] = url.split(/[/?]/)
    const key = `${request.method} ${kind}`
    if (kind !== 'addresses') this.options.log.push(`${this.options.name}: ${request.method} ${url.slice(3)}${describeBody(body)}`)
    const script = this.scripts[key] ?? [[{ status: 500, body: {} }]]
    const turn = this.asked.get(key) ?? 0
    this.asked.set(key, turn + 1)
    for (const step of script[Math.min(turn, script.length - 1)] ?? []) await this.runStep(step, response)
    if (!response.destroyed && !response.writableEnded && !this.isSilent(script, turn)) response.end()
  }

  private isSilent (script: Script, turn: number): boolean {
    return script[Math.min(turn, script.length - 1)]?.at(-1) === 'silence'
  }

  private async runStep (step: Step, response: ServerResponse): Promise<void> {
    const faults: Record<string, () => void | Promise<void>> = {
      cut: () => { response.destroy() },
      silence: () => this.options.onSilence?.(),
      stop: async () => await this.stop(),
      garbage: () => { response.write('{"type":\n') }
    }
    if (typeof step === 'string') return await faults[step]?.()
    if ('status' in step && !('type' in step)) {
      response.writeHead(step.status, { 'content-type': 'application/json' })
      response.end(step.status === 204 ? undefined : JSON.stringify(step.body))
      return
    }
    await new Promise<void>(resolve => { response.write(`${JSON.stringify(step)}\n`, () => resolve()) })
  }
}

/** Describes the fields of a body that say how a request came about. */
function describeBody (body: string): string {
  const { replaces, resumeToken, offset } = body === '' ? {} : JSON.parse(body)
  const fields = Object.entries({ replaces, resumeToken, offset }).filter(([, value]) => value !== undefined)
  return fields.map(([name, value]) => ` ${name}=${value}`).join('')
}

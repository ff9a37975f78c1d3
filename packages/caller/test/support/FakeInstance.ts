import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { type AddressInfo } from 'node:net'
import { text } from 'node:stream/consumers'
import { type StreamEvent } from '@fescuespoke/schema'

/** One step of a scripted response: an event, an HTTP response, or an action on the connection or the server. */
export type ScriptStep = StreamEvent | { readonly status: number, readonly body: unknown } | 'disconnect' | 'stall' | 'stop' | 'malformedLine'

/** Scripted responses to one kind of request, one for each request in order. The last one is repeated. */
export type Script = ReadonlyArray<readonly ScriptStep[]>

/** Scripts by method and resource in the path, for example `PUT requests`. */
export type Scripts = Readonly<Record<string, Script>>

export interface FakeInstanceOptions {
  readonly name: string
  /** Receives a line for each request, except those for addresses. */
  readonly log: string[]
  /** Called when a script reaches a `stall` step. */
  readonly onStall?: () => void
}

/** Instance with scripted responses. */
export class FakeInstance {
  static async start (options: FakeInstanceOptions): Promise<FakeInstance> {
    const server = createServer()
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    return new FakeInstance(options, server)
  }

  readonly url: string
  scripts: Scripts = {}
  private readonly requestCounts = new Map<string, number>()

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
    const [, , resource] = url.split(/[/?]/)
    const key = `${request.method} ${resource}`
    if (resource !== 'addresses') this.options.log.push(`${this.options.name}: ${request.method} ${url.slice(3)}${describeBody(body)}`)
    const script = this.scripts[key] ?? [[{ status: 500, body: {} }]]
    const requestIndex = this.requestCounts.get(key) ?? 0
    this.requestCounts.set(key, requestIndex + 1)
    for (const step of script[Math.min(requestIndex, script.length - 1)] ?? []) await this.runStep(step, response)
    if (!response.destroyed && !response.writableEnded && !this.isStalled(script, requestIndex)) response.end()
  }

  private isStalled (script: Script, requestIndex: number): boolean {
    return script[Math.min(requestIndex, script.length - 1)]?.at(-1) === 'stall'
  }

  private async runStep (step: ScriptStep, response: ServerResponse): Promise<void> {
    const connectionActions: Record<string, () => void | Promise<void>> = {
      disconnect: () => { response.destroy() },
      stall: () => this.options.onStall?.(),
      stop: async () => await this.stop(),
      malformedLine: () => { response.write('{"type":\n') }
    }
    if (typeof step === 'string') return await connectionActions[step]?.()
    if ('status' in step && !('type' in step)) {
      response.writeHead(step.status, { 'content-type': 'application/json' })
      response.end(step.status === 204 ? undefined : JSON.stringify(step.body))
      return
    }
    await new Promise<void>(resolve => { response.write(`${JSON.stringify(step)}\n`, () => resolve()) })
  }
}

/** Describes the fields of a body that show whether a request resumes or replaces a generation. */
function describeBody (body: string): string {
  const { replaces, resumeToken, offset } = body === '' ? {} : JSON.parse(body)
  const fields = Object.entries({ replaces, resumeToken, offset }).filter(([, value]) => value !== undefined)
  return fields.map(([name, value]) => ` ${name}=${value}`).join('')
}

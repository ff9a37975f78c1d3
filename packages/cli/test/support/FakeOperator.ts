import { createServer, type Server } from 'node:http'
import { type AddressInfo } from 'node:net'
import { type InstanceStatus } from '@fescuespoke/schema'

/** An answer of a fake: a status and a body, or silence. */
export type FakeAnswer = { readonly status: number, readonly body: unknown } | 'silence'

/** The operators' interface of an instance with prepared answers. */
export class FakeOperator {
  static async start (): Promise<FakeOperator> {
    const server = createServer()
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    return new FakeOperator(server)
  }

  readonly url: string
  /** Answers by path; one for each time it is asked, the last one is repeated. */
  readonly answers = new Map<string, FakeAnswer[]>()
  private readonly asked = new Map<string, number>()

  private constructor (private readonly server: Server) {
    this.url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`
    server.on('request', (request, response) => {
      const answer = this.takeAnswer(request.url ?? '')
      if (answer === 'silence') return
      response.writeHead(answer.status, { 'content-type': 'application/json' })
      response.end(typeof answer.body === 'string' ? answer.body : JSON.stringify(answer.body))
    })
  }

  setAnswers (path: string, ...bodies: unknown[]): void {
    this.answers.set(path, bodies.map(body => body === 'silence' ? 'silence' : { status: 200, body }))
  }

  async stop (): Promise<void> {
    this.server.closeAllConnections()
    await new Promise(resolve => { this.server.close(resolve) })
  }

  private takeAnswer (path: string): FakeAnswer {
    const answers = this.answers.get(path) ?? [{ status: 404, body: { error: 'notFound', message: 'no such thing' } }]
    const turn = this.asked.get(path) ?? 0
    this.asked.set(path, turn + 1)
    return answers[Math.min(turn, answers.length - 1)] as FakeAnswer
  }
}

/** Makes a status with nothing to report. */
export function createStatus (changes: Partial<InstanceStatus> = {}): InstanceStatus {
  return {
    instance: 'i1',
    incarnation: 'r1',
    phase: 'ready',
    revision: 7,
    listVersion: 3,
    listAgeMs: 400,
    configurationAgeMs: 1500,
    requests: 2,
    queued: 1,
    targets: [],
    members: [],
    refused: [],
    ...changes
  }
}

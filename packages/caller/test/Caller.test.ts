import { describe, expect, it } from 'vitest'
import { type Scripts } from './support/FakeInstance.js'
import { accept, begin, type CallerTest, complete, doCallerTest, produce } from './support/doCallerTest.js'

async function doTest (scripts: readonly Scripts[], run: (test: CallerTest) => Promise<unknown> = generate): Promise<unknown> {
  return await doCallerTest({ scripts }, run)
}

async function generate ({ caller }: CallerTest): Promise<unknown> {
  return await caller.generate({ service: 's', prompt: 'p' }).wait()
}

const ANSWER = [accept(), begin('g'), produce('g', 0, 'x', 'y'), produce('g', 2, 'z'), complete(3)]

describe('Caller', () => {
  it('returns the whole answer of a generation', async () => {
    expect(await doTest([{ 'PUT requests': [ANSWER] }])).toMatchInlineSnapshot(`
      {
        "log": [
          "a: POST /v1/leases {"workspace":"w"}",
          "a: PUT /v1/requests/A/1?offset=0 {"service":"s","prompt":"p"}",
        ],
        "result": {
          "outcome": "complete",
          "reason": "finished",
          "reply": undefined,
          "tokens": [
            "x",
            "y",
            "z",
          ],
        },
      }
    `)
  })

  it('returns the reply of a call', async () => {
    const script = [accept('whole'), { type: 'reply', status: 200, body: { gate: 'open' } } as const, complete()]
    expect(await doTest([{ 'PUT requests': [script] }], async ({ caller }) => {
      return await caller.call({ service: 's', body: { open: 1 } }).wait()
    })).toMatchInlineSnapshot(`
      {
        "log": [
          "a: POST /v1/leases {"workspace":"w"}",
          "a: PUT /v1/requests/A/1?offset=0 {"service":"s","body":{"open":1}}",
        ],
        "result": {
          "outcome": "complete",
          "reason": "finished",
          "reply": {
            "body": {
              "gate": "open",
            },
            "status": 200,
          },
          "tokens": [],
        },
      }
    `)
  })

  it('resumes by offset after a cut stream', async () => {
    const cut = [accept(), begin('g'), produce('g', 0, 'x', 'y'), 'cut'] as const
    const rest = [accept(), begin('g'), produce('g', 2, 'z'), complete(3)]
    expect(await doTest([{ 'PUT requests': [cut, rest] }])).toMatchInlineSnapshot(`
      {
        "log": [
          "a: POST /v1/leases {"workspace":"w"}",
          "a: PUT /v1/requests/A/1?offset=0 {"service":"s","prompt":"p"}",
          "a: PUT /v1/requests/A/1?offset=2 {"service":"s","prompt":"p"}",
        ],
        "result": {
          "outcome": "complete",
          "reason": "finished",
          "reply": undefined,
          "tokens": [
            "x",
            "y",
            "z",
          ],
        },
      }
    `)
  })

  it('iterates over tokens and uses one lease for many requests', async () => {
    expect(await doTest([{ 'PUT requests': [ANSWER] }], async ({ caller }) => {
      const tokens: string[] = []
      for await (const token of caller.generate({ service: 's', prompt: 'p' })) tokens.push(token)
      for await (const token of caller.generate({ service: 's', prompt: 'q' })) tokens.push(token)
      return tokens
    })).toMatchInlineSnapshot(`
      {
        "log": [
          "a: POST /v1/leases {"workspace":"w"}",
          "a: PUT /v1/requests/A/1?offset=0 {"service":"s","prompt":"p"}",
          "a: PUT /v1/requests/A/2?offset=0 {"service":"s","prompt":"q"}",
        ],
        "result": [
          "x",
          "y",
          "z",
          "x",
          "y",
          "z",
        ],
      }
    `)
  })
})

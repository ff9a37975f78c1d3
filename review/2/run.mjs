// REFUSED: a stream is answered 503 while a server runs it. Servers send a second copy of some answers, late.
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { playSecondCopies } from '../common/secondCopies.mjs'

/** Statuses that promise that a request has not run and never will. */
const PROMISES = new Set([408, 421, 429, 503])

await playSecondCopies({
  folder: dirname(fileURLToPath(import.meta.url)),
  findBroken: (runs, answers) => [...answers].filter(([id, { status }]) => PROMISES.has(status) && runs.has(id)).map(([id, { status, body }]) => `REFUSED: ${id} was answered ${status} (${body.slice(0, 60)}) and was run by ${runs.get(id).join(', ')}`)
})

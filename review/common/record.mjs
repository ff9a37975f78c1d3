// Writes what was sent, answered and run to a file.
import { createWriteStream } from 'node:fs'
import { join } from 'node:path'

/** Whether the test makes its disruption. */
export const HAS_TROUBLE = process.env.TROUBLE !== '0'

/** Opens `record.txt` in a folder; returns the function that adds a line to it, with the seconds since the start. */
export function openRecord (folder) {
  const startedAtMs = performance.now()
  const file = createWriteStream(join(folder, 'record.txt'))
  const record = line => { file.write(`${((performance.now() - startedAtMs) / 1000).toFixed(3).padStart(8)} ${line}\n`) }
  record.close = async () => await new Promise(resolve => file.end(resolve))
  record(`disruption: ${HAS_TROUBLE ? 'yes' : 'no'}`)
  return record
}

/** Runs a test and exits with 1 if it broke a rule, 0 if all held, and 2 if it could not run. */
export async function runTest (record, test, cleanUp) {
  let status = 2
  for (const signal of ['SIGINT', 'SIGTERM']) process.once(signal, () => { cleanUp().then(() => process.exit(2)) })
  try {
    const broken = await test()
    status = broken.length > 0 ? 1 : 0
    record(broken.length === 0 ? 'result: the rule held' : `result: the rule was broken ${broken.length} times`)
    for (const line of broken.slice(0, 20)) record(`broken: ${line}`)
    console.log(status === 1 ? `broken ${broken.length} times: ${broken[0]}` : 'held')
  } catch (error) {
    record(`could not run: ${error.stack}`)
    console.error(error)
  }
  await cleanUp()
  await record.close()
  process.exit(status)
}

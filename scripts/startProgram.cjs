// Starts the bundled program beside this file from the code cache that the build made, so that a start compiles nothing.
'use strict'

// Until the program has set its handlers, these signals must not end the process; their events are delivered when the program has been loaded.
for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP']) process.on(signal, () => {})

const { readFileSync } = require('node:fs')
const { join } = require('node:path')
const { Script } = require('node:vm')

const programPath = join(__dirname, 'program.cjs')
const script = new Script(`(function (require, module, exports, __filename, __dirname) {${readFileSync(programPath, 'utf8')}\n})`, {
  filename: programPath,
  cachedData: readCache()
})
if (script.cachedDataRejected === true) console.error('code cache not used: it was made by another version of Node.js or with other flags')

// Called by the build; what has been compiled by then is part of the cache. Set before the program runs, which may exit at once.
module.exports = { createCache: () => script.createCachedData() }

const program = { exports: {} }
script.runInThisContext()(require, program, program.exports, programPath, __dirname)

function readCache () {
  try {
    return readFileSync(join(__dirname, 'program.cache'))
  } catch (error) {
    console.error(`code cache not used: ${error.message}`)
    return undefined
  }
}

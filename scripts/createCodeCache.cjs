// Writes the code cache of the program that the given file starts: loads the program, which exits for lack of settings, and saves what was compiled.
'use strict'

const { writeFileSync } = require('node:fs')
const { dirname, join, resolve } = require('node:path')

const starterPath = resolve(process.argv[2])
process.on('exit', () => writeFileSync(join(dirname(starterPath), 'program.cache'), require(starterPath).createCache()))
require(starterPath)

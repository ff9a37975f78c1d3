// Writes log lines with the built logger, tells that it got through, and ends.
import { createLogger } from '../../dist/index.js'

const [lineCount, end] = process.argv.slice(2)
const logger = createLogger({ instance: 'i' })
for (let index = 0; index < Number(lineCount); index++) logger.info({ index }, 'line')
logger.warn('last line')
console.error('all lines logged')
if (end === 'exit') process.exit(0)

import { type Clock } from '@fescuespoke/common'
import { type Dispatcher } from 'undici'

/** Dependencies of the commands. */
export interface CliContext {
  /** Prints a line to standard output. */
  readonly print: (line: string) => void
  /** Prints a line to standard error. */
  readonly printError: (line: string) => void
  readonly clock: Clock
  readonly dispatcher: Dispatcher
  /** Stops a command that follows changes until it is interrupted. */
  readonly signal: AbortSignal
}

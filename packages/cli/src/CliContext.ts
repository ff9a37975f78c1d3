import { type Clock } from '@fescuespoke/common'
import { type Dispatcher } from 'undici'

/** What commands work with. */
export interface CliContext {
  /** Prints a line of the result. */
  readonly print: (line: string) => void
  /** Prints a line about what went wrong. */
  readonly printError: (line: string) => void
  readonly clock: Clock
  readonly dispatcher: Dispatcher
  /** Ends a command that follows changes. */
  readonly signal: AbortSignal
}

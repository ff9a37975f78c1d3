import { type RelayContext } from '../requests/RelayContext.js'

/** A request as its crashes are remembered: with the workspace of its caller. */
export type CrashSubject = Pick<RelayContext, 'request' | 'workspace'>

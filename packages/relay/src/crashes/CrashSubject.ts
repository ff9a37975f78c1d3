import { type RelayContext } from '../requests/RelayContext.js'

/** A request by which crashes are explained, with the workspace of its caller. */
export type CrashSubject = Pick<RelayContext, 'request' | 'workspace'>

/** Maximum number of times a lost stream is reopened on the same target without receiving a new token. */
export const MAX_CONSECUTIVE_REOPENS = 3

/** Delay before a lost stream is reopened, in milliseconds. */
export const REOPEN_DELAY_MS = 50

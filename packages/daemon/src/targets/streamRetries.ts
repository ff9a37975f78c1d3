/** Times in a row that a lost stream of a generation is opened again at the same target without a new token. */
export const MAX_CONSECUTIVE_REOPENS = 3

/** Pause before a lost stream is opened again, in milliseconds. */
export const REOPEN_DELAY_MS = 50

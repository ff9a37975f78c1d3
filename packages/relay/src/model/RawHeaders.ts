/** Raw headers as alternating names and values. */
export type RawHeaders = readonly string[]

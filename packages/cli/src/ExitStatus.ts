/** Exit statuses of the command line, described in docs/cli.md. */
export const EXIT_STATUSES = {
  /** Nothing to report. */
  ok: 0,
  /** The command ran and found problems. */
  problems: 1,
  /** The command was used wrongly. */
  wrongUse: 2,
  /** An instance that was to be asked did not answer. */
  unreachable: 3
} as const

/** Name of an exit status. */
export type ExitStatus = keyof typeof EXIT_STATUSES

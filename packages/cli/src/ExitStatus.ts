/** Exit statuses of the command line, described in docs/cli.md. */
export const EXIT_STATUSES = {
  /** The command succeeded and found no problems. */
  ok: 0,
  /** The command completed and found problems. */
  problems: 1,
  /** The arguments of the command were invalid. */
  usageError: 2,
  /** A queried instance did not return a valid response. */
  unreachable: 3
} as const

/** Name of an exit status. */
export type ExitStatus = keyof typeof EXIT_STATUSES

/**
 * Returns the mean processor time of a round in microseconds. One round runs before the measurement as a warm-up.
 * @param rounds - Number of measured rounds.
 * @param runRound - Runs one round.
 */
export function measureCpuMicros (rounds: number, runRound: () => void): number {
  runRound()
  const before = process.cpuUsage()
  for (let round = 0; round < rounds; round++) runRound()
  const used = process.cpuUsage(before)
  return (used.user + used.system) / rounds
}

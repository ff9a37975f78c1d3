/**
 * Measures the processor time of one round of work in microseconds, after a round that is left out.
 * @param rounds - Number of measured rounds.
 * @param runRound - One round.
 */
export function measureCpuMicros (rounds: number, runRound: () => void): number {
  runRound()
  const before = process.cpuUsage()
  for (let round = 0; round < rounds; round++) runRound()
  const used = process.cpuUsage(before)
  return (used.user + used.system) / rounds
}

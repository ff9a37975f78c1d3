import { pickIndex, type Random } from '@fescuespoke/common'

/** Order in which members are probed. Each member is probed once per round; each round is shuffled. @internal */
export class ProbeOrder {
  /**
   * Creates an empty order.
   * @param random - Source of random numbers.
   */
  static create (random: Random): ProbeOrder {
    return new ProbeOrder(random)
  }

  private remainingNames: string[] = []

  /** @internal */
  private constructor (private readonly random: Random) {}

  /**
   * Inserts a name at a random position in the current round.
   * @param name - Name of a member.
   */
  insert (name: string): void {
    const index = pickIndex(this.random, this.remainingNames.length + 1)
    this.remainingNames.splice(index, 0, name)
  }

  /**
   * Removes and returns the next eligible name of the round, or undefined if there is none. Names that are not eligible
   * are removed from the round.
   * @param isEligible - Returns whether a name may be probed.
   * @param listAll - Returns the names of a new round.
   */
  takeNext (isEligible: (name: string) => boolean, listAll: () => string[]): string | undefined {
    if (this.remainingNames.length === 0) this.remainingNames = shuffle(this.random, listAll())
    for (let name = this.remainingNames.pop(); name !== undefined; name = this.remainingNames.pop()) {
      if (isEligible(name)) return name
    }
    return undefined
  }
}

/**
 * Picks a random sample of values without replacement.
 * @param random - Source of random numbers.
 * @param values - Values to sample.
 * @param limit - Maximum size of the sample.
 * @internal
 */
export function pickSample<T> (random: Random, values: readonly T[], limit: number): T[] {
  const remaining = [...values]
  const picked: T[] = []
  while (picked.length < limit && remaining.length > 0) {
    const index = pickIndex(random, remaining.length)
    picked.push(...remaining.splice(index, 1))
  }
  return picked
}

function shuffle<T> (random: Random, values: readonly T[]): T[] {
  return pickSample(random, values, values.length)
}

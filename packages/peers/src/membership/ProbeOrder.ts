import { pickIndex, type Random } from '@fescuespoke/common'

/** Order in which members are probed: each once in a round, rounds shuffled. @internal */
export class ProbeOrder {
  /**
   * Creates an empty order.
   * @param random - Source of random numbers.
   */
  static create (random: Random): ProbeOrder {
    return new ProbeOrder(random)
  }

  private names: string[] = []

  /** @internal */
  private constructor (private readonly random: Random) {}

  /**
   * Inserts a name at a random place of the current round.
   * @param name - Name of a member.
   */
  insert (name: string): void {
    const index = pickIndex(this.random, this.names.length + 1)
    this.names.splice(index, 0, name)
  }

  /**
   * Takes the next name for which a condition holds; names for which it does not hold leave the round.
   * @param isWanted - The condition.
   * @param listAll - Lists the names of a new round.
   */
  takeNext (isWanted: (name: string) => boolean, listAll: () => string[]): string | undefined {
    if (this.names.length === 0) this.names = pickAll(this.random, listAll())
    for (let name = this.names.pop(); name !== undefined; name = this.names.pop()) {
      if (isWanted(name)) return name
    }
    return undefined
  }
}

/**
 * Picks some values at random, each at most once.
 * @param random - Source of random numbers.
 * @param values - All values.
 * @param limit - Largest number of picked values.
 * @internal
 */
export function pickSome<T> (random: Random, values: readonly T[], limit: number): T[] {
  const rest = [...values]
  const picked: T[] = []
  while (picked.length < limit && rest.length > 0) {
    const index = pickIndex(random, rest.length)
    picked.push(...rest.splice(index, 1))
  }
  return picked
}

function pickAll<T> (random: Random, values: readonly T[]): T[] {
  return pickSome(random, values, values.length)
}

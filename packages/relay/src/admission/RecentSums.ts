import { type Clock } from '@fescuespoke/common'

/** Number and total amount of the records of one key. */
export interface RecentSum {
  readonly count: number
  readonly amount: number
}

interface SumRecord<K> {
  readonly key: K
  readonly amount: number
  readonly atMs: number
}

const EMPTY_SUM: RecentSum = { count: 0, amount: 0 }

/** Sums of amounts by key within a sliding window of time. */
export class RecentSums<K> {
  /**
   * Creates empty sums.
   * @param clock - Clock of the instance.
   * @param windowMs - Length of the window, in milliseconds.
   */
  static create<K>(clock: Clock, windowMs: number): RecentSums<K> {
    return new RecentSums<K>(clock, windowMs)
  }

  private readonly sums = new Map<K, RecentSum>()
  private records: Array<SumRecord<K>> = []
  private firstIndex = 0
  private total = 0

  /** @internal */
  private constructor (private readonly clock: Clock, private readonly windowMs: number) {}

  /**
   * Adds an amount.
   * @param key - Key of the sum.
   * @param amount - The amount.
   */
  add (key: K, amount: number): void {
    this.prune()
    this.records.push({ key, amount, atMs: this.clock.nowMs() })
    this.change(key, 1, amount)
  }

  /**
   * Returns the sum of a key.
   * @param key - Key of the sum.
   */
  getSum (key: K): RecentSum {
    this.prune()
    return this.sums.get(key) ?? EMPTY_SUM
  }

  /** Returns the mean amount of the keys that have records; 0 without any. */
  getMeanAmount (): number {
    this.prune()
    return this.sums.size === 0 ? 0 : this.total / this.sums.size
  }

  /** Drops all records. */
  clear (): void {
    this.records = []
    this.firstIndex = 0
    this.sums.clear()
    this.total = 0
  }

  private prune (): void {
    const oldestMs = this.clock.nowMs() - this.windowMs
    for (let record = this.records[this.firstIndex]; record !== undefined && record.atMs < oldestMs; record = this.records[this.firstIndex]) {
      this.change(record.key, -1, -record.amount)
      this.firstIndex++
    }
    if (this.firstIndex <= this.records.length / 2) return
    this.records = this.records.slice(this.firstIndex)
    this.firstIndex = 0
  }

  private change (key: K, count: number, amount: number): void {
    const sum = this.sums.get(key) ?? EMPTY_SUM
    this.total += amount
    if (sum.count + count <= 0) this.sums.delete(key)
    else this.sums.set(key, { count: sum.count + count, amount: sum.amount + amount })
  }
}

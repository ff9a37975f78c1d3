/** Options of a prefix cache. */
export interface PrefixCacheOptions {
  /** Memory that prefixes may take, in tokens. */
  readonly capacityTokens: number
  /** Is told of each change. */
  readonly recordEvent: (event: 'stored' | 'evicted', prefix: string) => void
}

/** How a prefix was found: `hit` needs no computing, `stored` is computed once, `uncached` is not shared. */
export type PrefixCacheResult = 'hit' | 'stored' | 'uncached'

interface CacheEntry {
  readonly tokens: number
  referenceCount: number
}

/** Shares computed prompt prefixes between generations and evicts the least recently used. */
export class PrefixCache {
  /**
   * Creates an empty cache.
   * @param options - Options of the cache.
   */
  static create (options: PrefixCacheOptions): PrefixCache {
    return new PrefixCache(options)
  }

  /** Entries, least recently used first. */
  private readonly entries = new Map<string, CacheEntry>()
  private cachedTokens = 0
  private referencedTokens = 0

  /** @internal */
  private constructor (private readonly options: PrefixCacheOptions) {}

  /** Gets the memory of prefixes that running generations use, in tokens. */
  getReferencedTokens (): number {
    return this.referencedTokens
  }

  /**
   * Computes how much more memory would be taken by using a prefix.
   * @param prefix - Name of the prefix.
   * @param tokens - Its length.
   */
  computeAdditionalTokens (prefix: string, tokens: number): number {
    const entry = this.entries.get(prefix)
    return entry !== undefined && entry.referenceCount > 0 ? 0 : tokens
  }

  /**
   * Acquires a prefix for a running generation.
   * @param prefix - Name of the prefix.
   * @param tokens - Its length.
   */
  acquire (prefix: string, tokens: number): PrefixCacheResult {
    const cachedEntry = this.entries.get(prefix)
    if (cachedEntry !== undefined) {
      this.addReference(prefix, cachedEntry)
      return 'hit'
    }
    if (this.referencedTokens + tokens > this.options.capacityTokens) return 'uncached'
    const entry: CacheEntry = { tokens, referenceCount: 0 }
    this.cachedTokens += tokens
    this.addReference(prefix, entry)
    this.options.recordEvent('stored', prefix)
    this.evictUnused(this.options.capacityTokens)
    return 'stored'
  }

  /**
   * Releases a prefix; it stays until its memory is needed.
   * @param prefix - Name of the prefix.
   */
  release (prefix: string): void {
    const entry = this.entries.get(prefix)
    if (entry === undefined) return
    entry.referenceCount--
    if (entry.referenceCount === 0) this.referencedTokens -= entry.tokens
  }

  /**
   * Evicts unused prefixes until the held ones fit.
   * @param limitTokens - Memory that they may take.
   */
  evictUnused (limitTokens: number): void {
    if (this.cachedTokens <= limitTokens) return
    for (const [prefix, entry] of this.entries) {
      if (this.cachedTokens <= limitTokens) return
      if (entry.referenceCount > 0) continue
      this.entries.delete(prefix)
      this.cachedTokens -= entry.tokens
      this.options.recordEvent('evicted', prefix)
    }
  }

  private addReference (prefix: string, entry: CacheEntry): void {
    this.entries.delete(prefix)
    this.entries.set(prefix, entry)
    if (entry.referenceCount === 0) this.referencedTokens += entry.tokens
    entry.referenceCount++
  }
}

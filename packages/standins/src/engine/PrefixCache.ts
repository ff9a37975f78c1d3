/** Options of a prefix cache. */
export interface PrefixCacheOptions {
  /** Capacity of the cache, in tokens. */
  readonly capacityTokens: number
  /** Called for each prefix that is stored or evicted. */
  readonly recordEvent: (event: 'stored' | 'evicted', prefix: string) => void
}

/**
 * Result of a cache lookup: on `hit` the prefix is already computed, on `stored` it is computed and shared from now on,
 * on `uncached` it is computed but not shared since the cache has no capacity for it.
 */
export type PrefixCacheResult = 'hit' | 'stored' | 'uncached'

interface CacheEntry {
  readonly tokens: number
  referenceCount: number
}

/** Shares computed prompt prefixes between generations and evicts the least recently used ones. */
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

  /** Returns the memory of the prefixes that running generations reference, in tokens. */
  getReferencedTokens (): number {
    return this.referencedTokens
  }

  /**
   * Computes by how much the referenced memory would grow if a prefix were acquired.
   * @param prefix - Name of the prefix.
   * @param tokens - Length of the prefix in tokens.
   * @returns Additional memory in tokens; 0 if a running generation already references the prefix.
   */
  computeAdditionalTokens (prefix: string, tokens: number): number {
    const entry = this.entries.get(prefix)
    return entry !== undefined && entry.referenceCount > 0 ? 0 : tokens
  }

  /**
   * Acquires a prefix for a running generation.
   * @param prefix - Name of the prefix.
   * @param tokens - Length of the prefix in tokens.
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
   * Releases a prefix. It stays cached until its memory is needed.
   * @param prefix - Name of the prefix.
   */
  release (prefix: string): void {
    const entry = this.entries.get(prefix)
    if (entry === undefined) return
    entry.referenceCount--
    if (entry.referenceCount === 0) this.referencedTokens -= entry.tokens
  }

  /**
   * Evicts unreferenced prefixes until the cached ones fit into a limit.
   * @param limitTokens - Maximum memory of the cached prefixes, in tokens.
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

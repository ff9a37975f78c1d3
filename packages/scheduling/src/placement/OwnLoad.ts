import { addProfile, computePeak, createEmptyProfile, estimateProfile, type MemoryProfile, type ProjectedGeneration } from '../admission/MemoryProfile.js'
import { type LengthTable } from '../lengths/LengthTable.js'
import { type Projection } from '../policies/policies.js'

/** Share and number of tokens after which a generation is projected anew. */
const REVISION_SHARE = 0.1
const REVISION_TOKENS = 16

/** One request that this instance has at a target. */
export interface OwnRequest {
  readonly promptTokens: number
  readonly maxTokens: number
  readonly lengths: LengthTable
  readonly isHighPriority: boolean
  producedTokens: number
  projectedTokens: number
  profile: MemoryProfile
}

/** What a request will be when it is placed. */
export type RequestShape = Pick<OwnRequest, 'promptTokens' | 'maxTokens' | 'lengths' | 'isHighPriority'>

/** Requests that this instance has at one target, with their projected memory. */
export class OwnLoad {
  /**
   * Creates an empty load.
   * @param projection - How memory is projected.
   */
  static create (projection: Projection): OwnLoad {
    return new OwnLoad(projection)
  }

  private readonly requests = new Set<OwnRequest>()
  private sum = createEmptyProfile()
  private prefillTokens = 0
  private highCount = 0

  /** @internal */
  private constructor (private readonly projection: Projection) {}

  /** Counts the requests. */
  count (): number {
    return this.requests.size
  }

  /** Counts the requests of high priority. */
  countHigh (): number {
    return this.highCount
  }

  /** Gets the prompt tokens of requests that have not produced any token. */
  getPrefillTokens (): number {
    return this.prefillTokens
  }

  /** Gets the projected memory of all requests. */
  getProfile (): MemoryProfile {
    return this.sum
  }

  /** Computes the highest expected memory of all requests, in tokens. */
  computePeakTokens (): number {
    return computePeak(this.sum, 0)
  }

  /**
   * Estimates the highest expected memory that a request will take, in tokens.
   * @param shape - The request.
   */
  estimateNeed (shape: RequestShape): number {
    return computePeak(this.project({ ...shape, producedTokens: 0 }), 0)
  }

  /**
   * Adds a request.
   * @param shape - The request.
   */
  add (shape: RequestShape): OwnRequest {
    const profile = this.project({ ...shape, producedTokens: 0 })
    const request: OwnRequest = { ...shape, producedTokens: 0, projectedTokens: 0, profile }
    this.requests.add(request)
    this.prefillTokens += request.promptTokens
    if (request.isHighPriority) this.highCount++
    addProfile(this.sum, profile)
    return request
  }

  /**
   * Observes tokens of a request and revises its projection from time to time.
   * @param request - The request.
   * @param totalTokens - Tokens so far.
   */
  observeTokens (request: OwnRequest, totalTokens: number): void {
    if (!this.requests.has(request) || totalTokens <= request.producedTokens) return
    if (request.producedTokens === 0) this.prefillTokens -= request.promptTokens
    request.producedTokens = totalTokens
    const due = request.projectedTokens + Math.max(REVISION_TOKENS, request.projectedTokens * REVISION_SHARE)
    if (totalTokens < due) return
    addProfile(this.sum, request.profile, -1)
    request.profile = this.project(request)
    request.projectedTokens = totalTokens
    addProfile(this.sum, request.profile)
  }

  /**
   * Removes a request.
   * @param request - The request.
   */
  remove (request: OwnRequest): void {
    if (!this.requests.delete(request)) return
    if (request.isHighPriority) this.highCount--
    if (request.producedTokens === 0) this.prefillTokens -= request.promptTokens
    addProfile(this.sum, request.profile, -1)
    if (this.requests.size === 0) this.sum = createEmptyProfile()
  }

  private project (generation: ProjectedGeneration): MemoryProfile {
    return PROJECTIONS[this.projection](generation)
  }
}

const PROJECTIONS: Record<Projection, (generation: ProjectedGeneration) => MemoryProfile> = {
  survival: estimateProfile,
  current: ({ promptTokens, producedTokens }) => {
    const profile = createEmptyProfile()
    profile.mean[0] = promptTokens + producedTokens
    return profile
  }
}

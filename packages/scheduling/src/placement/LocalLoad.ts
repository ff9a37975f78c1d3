import { addProfile, computePeak, createEmptyProfile, estimateProfile, type MemoryProfile, type ProjectedGeneration } from '../admission/MemoryProfile.js'
import { type LengthDistribution } from '../lengths/LengthDistribution.js'
import { type MemoryProjection } from '../policies/policies.js'

/** Share and number of tokens after which a generation is projected anew. */
const REPROJECTION_FRACTION = 0.1
const MIN_REPROJECTION_TOKENS = 16

/** One request that this instance has at a target. */
export interface InFlightRequest {
  readonly promptTokens: number
  readonly maxTokens: number
  readonly lengthDistribution: LengthDistribution
  readonly isHighPriority: boolean
  producedTokens: number
  projectedAtTokens: number
  profile: MemoryProfile
}

/** What a request will be when it is placed. */
export type RequestShape = Pick<InFlightRequest, 'promptTokens' | 'maxTokens' | 'lengthDistribution' | 'isHighPriority'>

/** Requests that this instance has at one target, with their projected memory. */
export class LocalLoad {
  /**
   * Creates an empty load.
   * @param projection - How memory is projected.
   */
  static create (projection: MemoryProjection): LocalLoad {
    return new LocalLoad(projection)
  }

  private readonly requests = new Set<InFlightRequest>()
  private totalProfile = createEmptyProfile()
  private prefillTokens = 0
  private highPriorityCount = 0

  /** @internal */
  private constructor (private readonly projection: MemoryProjection) {}

  /** Counts the requests. */
  count (): number {
    return this.requests.size
  }

  /** Counts the requests of high priority. */
  countHighPriority (): number {
    return this.highPriorityCount
  }

  /** Gets the prompt tokens of requests that have not produced any token. */
  getPrefillTokens (): number {
    return this.prefillTokens
  }

  /** Gets the projected memory of all requests. */
  getProfile (): MemoryProfile {
    return this.totalProfile
  }

  /** Computes the highest expected memory of all requests, in tokens. */
  computePeakTokens (): number {
    return computePeak(this.totalProfile, 0)
  }

  /**
   * Estimates the highest expected memory that a request will take, in tokens.
   * @param shape - The request.
   */
  estimatePeakTokens (shape: RequestShape): number {
    return computePeak(this.project({ ...shape, producedTokens: 0 }), 0)
  }

  /**
   * Adds a request.
   * @param shape - The request.
   */
  add (shape: RequestShape): InFlightRequest {
    const profile = this.project({ ...shape, producedTokens: 0 })
    const request: InFlightRequest = { ...shape, producedTokens: 0, projectedAtTokens: 0, profile }
    this.requests.add(request)
    this.prefillTokens += request.promptTokens
    if (request.isHighPriority) this.highPriorityCount++
    addProfile(this.totalProfile, profile)
    return request
  }

  /**
   * Observes tokens of a request and revises its projection from time to time.
   * @param request - The request.
   * @param totalTokens - Tokens so far.
   */
  observeTokens (request: InFlightRequest, totalTokens: number): void {
    if (!this.requests.has(request) || totalTokens <= request.producedTokens) return
    if (request.producedTokens === 0) this.prefillTokens -= request.promptTokens
    request.producedTokens = totalTokens
    const reprojectionTokens = request.projectedAtTokens + Math.max(MIN_REPROJECTION_TOKENS, request.projectedAtTokens * REPROJECTION_FRACTION)
    if (totalTokens < reprojectionTokens) return
    addProfile(this.totalProfile, request.profile, -1)
    request.profile = this.project(request)
    request.projectedAtTokens = totalTokens
    addProfile(this.totalProfile, request.profile)
  }

  /**
   * Removes a request.
   * @param request - The request.
   */
  remove (request: InFlightRequest): void {
    if (!this.requests.delete(request)) return
    if (request.isHighPriority) this.highPriorityCount--
    if (request.producedTokens === 0) this.prefillTokens -= request.promptTokens
    addProfile(this.totalProfile, request.profile, -1)
    if (this.requests.size === 0) this.totalProfile = createEmptyProfile()
  }

  private project (generation: ProjectedGeneration): MemoryProfile {
    return PROJECTIONS[this.projection](generation)
  }
}

const PROJECTIONS: Record<MemoryProjection, (generation: ProjectedGeneration) => MemoryProfile> = {
  survival: estimateProfile,
  current: ({ promptTokens, producedTokens }) => {
    const profile = createEmptyProfile()
    profile.mean[0] = promptTokens + producedTokens
    return profile
  }
}

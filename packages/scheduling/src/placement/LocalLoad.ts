import { addProfile, computePeak, createEmptyProfile, estimateProfile, type MemoryProfile, type ProjectedGeneration } from '../admission/MemoryProfile.js'
import { type LengthDistribution } from '../lengths/LengthDistribution.js'
import { type MemoryProjection } from '../policies/policies.js'

/** A projection is updated after the output has grown by this fraction, and by at least this number of tokens. */
const REPROJECTION_FRACTION = 0.1
const MIN_REPROJECTION_TOKENS = 16

/** Request of this instance that is in flight at a target. */
export interface InFlightRequest {
  readonly promptTokens: number
  readonly maxTokens: number
  readonly lengthDistribution: LengthDistribution
  readonly isHighPriority: boolean
  producedTokens: number
  /** Number of tokens that had been produced when the profile was last computed. */
  projectedAtTokens: number
  profile: MemoryProfile
}

/** Properties of a request that determine its projected memory. */
export type RequestShape = Pick<InFlightRequest, 'promptTokens' | 'maxTokens' | 'lengthDistribution' | 'isHighPriority'>

/** Requests of this instance that are in flight at one target, with their projected memory. */
export class LocalLoad {
  /**
   * Creates an empty load.
   * @param projection - How memory use is projected.
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

  /** Returns the number of requests. */
  count (): number {
    return this.requests.size
  }

  /** Returns the number of requests of high priority. */
  countHighPriority (): number {
    return this.highPriorityCount
  }

  /** Returns the total prompt tokens of requests that have not produced a token yet. */
  getPrefillTokens (): number {
    return this.prefillTokens
  }

  /** Returns the projected memory of all requests. */
  getProfile (): MemoryProfile {
    return this.totalProfile
  }

  /** Returns the expected peak memory of all requests, in tokens. */
  computePeakTokens (): number {
    return computePeak(this.totalProfile, 0)
  }

  /**
   * Estimates the expected peak memory of a request, in tokens.
   * @param shape - Properties of the request.
   */
  estimatePeakTokens (shape: RequestShape): number {
    return computePeak(this.project({ ...shape, producedTokens: 0 }), 0)
  }

  /**
   * Adds a request.
   * @param shape - Properties of the request.
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
   * Records tokens of a request. Updates its projection once enough tokens were added.
   * @param request - The request.
   * @param totalTokens - Number of tokens produced so far.
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

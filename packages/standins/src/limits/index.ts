export * from './RateLimiter.js'

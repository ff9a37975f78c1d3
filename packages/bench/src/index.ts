export * from './slopes/measureMembership.js'
export * from './slopes/SlopePoint.js'

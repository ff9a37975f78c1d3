export * from './slopes/measureConnections.js'
export * from './slopes/measureMembership.js'
export * from './slopes/MembershipCost.js'

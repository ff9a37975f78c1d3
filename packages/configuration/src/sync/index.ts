export * from '../sync/ConfigurationFollower.js'
export * from '../sync/FleetMember.js'
export * from '../sync/InstanceListFollower.js'
export { type FollowerTiming } from '../sync/ViewFollower.js'

export * from './ConfigurationFollower.js'
export * from './FleetMember.js'
export * from './InstanceListFollower.js'
export { type FollowerTiming } from './ViewFollower.js'

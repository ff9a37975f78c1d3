export * from './InstanceListCore.js'
export * from './InstanceListServer.js'

export * from './CliContext.js'
export * from './ExitStatus.js'
export * from './operator/FleetStatus.js'
export * from './runCli.js'

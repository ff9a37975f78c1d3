export * from './CliContext.js'
export * from './ExitStatus.js'
export * from './operator/FleetView.js'
export * from './runCli.js'

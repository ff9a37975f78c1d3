export * from './TargetStateTracker.js'
export * from './TargetReader.js'

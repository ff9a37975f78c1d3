export * from './TargetEvidence.js'
export * from './TargetReader.js'

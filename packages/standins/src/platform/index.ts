export * from './createRecordValues.js'
export * from './Deployment.js'
export * from './DeploymentSpec.js'
export * from './startPlatform.js'

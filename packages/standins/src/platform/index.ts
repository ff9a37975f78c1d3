export * from './createRecordValues.js'
export * from './Deployment.js'
export * from './DeploymentShape.js'
export * from './startPlatform.js'

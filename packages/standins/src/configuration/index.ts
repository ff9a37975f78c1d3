export * from './ConfigurationCore.js'
export * from './ConfigurationServer.js'

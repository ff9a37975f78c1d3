export * from './HttpWeightSource.js'
export * from './WeightStoreCore.js'
export * from './WeightStoreServer.js'

export * from './PlainServiceCore.js'
export * from './PlainServiceServer.js'

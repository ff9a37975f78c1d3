export * from './list/index.js'
export * from './records/index.js'
export * from './sources/index.js'
export * from './view/index.js'

export * from './EngineCore.js'
export * from './EngineOptions.js'
export * from './EngineServer.js'
export { type EndReason, formatToken, type GenerationListener } from './Generation.js'

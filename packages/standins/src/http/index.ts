export { HttpHost, type HttpHostOptions } from './HttpHost.js'
export { type StandinRefusal } from './StandinRefusal.js'

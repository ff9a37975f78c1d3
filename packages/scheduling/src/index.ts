export * from './Scheduler.js'

export { type ListDifference } from './compareLists.js'
export * from './InstanceListView.js'

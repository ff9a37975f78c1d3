export * from './ConfigurationView.js'

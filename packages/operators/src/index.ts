export * as manifest from './manifest.js'
export * as configurationStore from './configuration-store.js'

export * as manifest from './manifest.js'
export * as manifestRules from './manifest-rules.js'
export * as configurationStore from './configuration-store.js'

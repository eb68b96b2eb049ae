export * as router from './router.js'
export * as settings from './settings.js'

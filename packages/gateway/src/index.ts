export * as gateway from './gateway.js'
export * as settings from './settings.js'

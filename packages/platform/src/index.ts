export * as platformClient from './platform-client.js'
export * as httpPlatformClient from './http-platform-client.js'
export * as conditionalUpdate from './conditional-update.js'
export * as objectKeys from './object-keys.js'

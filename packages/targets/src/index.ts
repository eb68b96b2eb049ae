export * as engineTypes from './engine-types.js'
export * as engineClient from './engine-client.js'
export * as serviceClient from './service-client.js'
export * as targetError from './target-error.js'

export * as callerTypes from './caller-types.js'
export * as callerServer from './caller-server.js'
export * as problemResponse from './problem-response.js'

export * as callerTypes from './caller-types.js'
export * as callerEdge from './caller-edge.js'
export * as problemResponse from './problem-response.js'

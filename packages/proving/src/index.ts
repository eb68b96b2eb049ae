export * as fleet from './fleet.js'
export * as replay from './replay.js'
export * as traceFormat from './trace-format.js'

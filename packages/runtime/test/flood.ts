import * as logging from '../src/logging.js'

/** Lines written; far more than a pipe and the waiting bytes hold. */
const LINES = 60_000

const log = logging.createBoundedLog('info', { host: 'flooded' })
const startedAt = performance.now()
for (let count = 0; count < LINES; count++) {
  log.logger.info({ event: 'flood', count, filler: 'x'.repeat(60) })
  if (count % 1000 === 0) await new Promise<void>((resolve) => { setImmediate(resolve) })
}
process.send?.({ elapsedMs: performance.now() - startedAt, dropped: log.droppedLines() })

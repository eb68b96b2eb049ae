// Child process of the logging test. Its parent doesn't read its output. Reports the elapsed time and the number of dropped lines.
import * as logging from '../src/logging.js'

/** Number of lines written; far more than the pipe and the logger's buffer hold. */
const LINE_COUNT = 60_000

const log = logging.createBoundedLog('info', { host: 'flooded' })
const startedAt = performance.now()
for (let count = 0; count < LINE_COUNT; count++) {
  log.logger.info({ event: 'flood', count, filler: 'x'.repeat(60) })
  if (count % 1000 === 0) await new Promise<void>((resolve) => { setImmediate(resolve) })
}
process.send?.({ elapsedMs: performance.now() - startedAt, dropped: log.droppedLines() })

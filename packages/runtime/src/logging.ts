import * as pino from 'pino'

/** A structured log; each line carries the process's identity. */
export type Logger = pino.Logger

/** Severities that the log-level setting takes. */
export const logLevels = ['fatal', 'error', 'warn', 'info', 'debug', 'trace', 'silent'] as const

/** Bytes that may wait for a reader of standard output before lines are dropped. */
const WAITING_LOG_BYTES = 1024 * 1024

/** Bytes collected before a write. Fewer, larger writes cost less processor time. */
const LOG_WRITE_BYTES = 4096

/** Longest time that a line waits for others, in milliseconds. */
const LOG_FLUSH_INTERVAL_MS = 500

/** Creates a log, one line of JSON an event, on standard output or another descriptor. */
export function createLogger (level: string, bindings: Record<string, string> = {}, descriptor: number = 1): Logger {
  return pino.pino({ level, base: bindings, timestamp: pino.stdTimeFunctions.isoTime }, pino.destination({ dest: descriptor, sync: true }))
}

/** A log that never blocks its process, with the count of lines that no reader took in time. */
export interface BoundedLog {
  logger: Logger
  droppedLines: () => number
  /** Writes what is waiting; for the end of the process. */
  flush: () => void
}

/** Creates a log that writes in the background and drops lines while nobody reads them. */
export function createBoundedLog (level: string, bindings: Record<string, string>, descriptor: number = 1): BoundedLog {
  let dropped = 0
  const destination = pino.destination({
    dest: descriptor,
    sync: false,
    minLength: LOG_WRITE_BYTES,
    maxLength: WAITING_LOG_BYTES,
    periodicFlush: LOG_FLUSH_INTERVAL_MS
  })
  destination.on('drop', () => { dropped += 1 })
  const logger = pino.pino({ level, base: bindings, timestamp: pino.stdTimeFunctions.isoTime }, destination)
  return { logger, droppedLines: () => dropped, flush: () => { destination.flush() } }
}

import * as pino from 'pino'

/** A structured logger. Each line includes the bindings that identify the process. */
export type Logger = pino.Logger

/** Values of the log-level setting. */
export const logLevels = ['fatal', 'error', 'warn', 'info', 'debug', 'trace', 'silent'] as const

/** Largest buffer of unwritten lines, in bytes. Further lines are dropped until a reader of the output catches up. */
const MAXIMUM_BUFFERED_BYTES = 1024 * 1024

/** Smallest write, in bytes. Fewer, larger writes cost less processor time. */
const MINIMUM_WRITE_BYTES = 4096

/** Interval at which buffered lines are written even if they are fewer than the smallest write, in milliseconds. */
const FLUSH_INTERVAL_MS = 500

/** Creates a logger that synchronously writes one line of JSON per event to standard output or another file descriptor. */
export function createLogger (level: string, bindings: Record<string, string> = {}, descriptor: number = 1): Logger {
  return pino.pino({ level, base: bindings, timestamp: pino.stdTimeFunctions.isoTime }, pino.destination({ dest: descriptor, sync: true }))
}

/** A logger with a bounded buffer. It never blocks the process. */
export interface BoundedLog {
  logger: Logger
  /** Returns the number of lines dropped because the buffer was full. */
  droppedLines: () => number
  /** Writes the buffered lines. Call it before the process exits. */
  flush: () => void
}

/** Creates a logger that writes asynchronously and drops lines while its buffer is full because nobody reads the output. */
export function createBoundedLog (level: string, bindings: Record<string, string>, descriptor: number = 1): BoundedLog {
  let dropped = 0
  const destination = pino.destination({
    dest: descriptor,
    sync: false,
    minLength: MINIMUM_WRITE_BYTES,
    maxLength: MAXIMUM_BUFFERED_BYTES,
    periodicFlush: FLUSH_INTERVAL_MS
  })
  destination.on('drop', () => { dropped += 1 })
  const logger = pino.pino({ level, base: bindings, timestamp: pino.stdTimeFunctions.isoTime }, destination)
  return { logger, droppedLines: () => dropped, flush: () => { destination.flush() } }
}

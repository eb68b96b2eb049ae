import * as pino from 'pino'

/** A structured log; each line carries the process's identity. */
export type Logger = pino.Logger

/** Severities that the log-level setting takes. */
export const logLevels = ['fatal', 'error', 'warn', 'info', 'debug', 'trace', 'silent'] as const

/** Creates a process's log on standard output, one line of JSON an event. */
export function createLogger (level: string, bindings: Record<string, string> = {}): Logger {
  return pino.pino({ level, base: bindings, timestamp: pino.stdTimeFunctions.isoTime })
}

import type * as logging from './logging.js'

/** Signals with which supervisors and operators ask a process to stop. */
const TERMINATION_SIGNALS = ['SIGTERM', 'SIGINT'] as const

/**
 * Calls `shutDown` once, on the first SIGTERM or SIGINT. Further ones are logged and change nothing: a supervisor may repeat its signal
 * while accepted requests are still being served. SIGKILL ends the process at once.
 */
export function shutDownOnSignal (logger: logging.Logger, shutDown: () => Promise<void>): void {
  let isShuttingDown = false
  for (const signal of TERMINATION_SIGNALS) {
    process.on(signal, () => {
      logger.info({ event: isShuttingDown ? 'signal-ignored' : 'signal', signal })
      if (isShuttingDown) return
      isShuttingDown = true
      void shutDown()
    })
  }
}

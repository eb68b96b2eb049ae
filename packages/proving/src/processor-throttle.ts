import * as workerThreads from 'node:worker_threads'

/** Length of one period, in milliseconds. */
const PERIOD_MS = 100

/**
 * Limits a process to a share of a core, as a usage cap does: the process runs at the start of each period and is stopped for the rest of
 * it. A thread of its own keeps the periods exact while this process is busy.
 */
export class ProcessorThrottle {
  readonly #pid: number
  readonly #worker: workerThreads.Worker

  constructor (pid: number, coreShare: number) {
    this.#pid = pid
    this.#worker = new workerThreads.Worker(new URL('./processor-throttle-worker.js', import.meta.url), { workerData: { pid, runMs: PERIOD_MS * coreShare, stopMs: PERIOD_MS * (1 - coreShare) } })
  }

  /** Ends the throttle. The process runs without a limit afterwards. */
  async stop (): Promise<void> {
    await this.#worker.terminate()
    process.kill(this.#pid, 'SIGCONT')
  }
}

import { performance } from 'node:perf_hooks'

/**
 * Measures how long received data may have waited for its handler. The kernel does not tell when data arrived, but data that is read in one
 * iteration of the event loop arrived after the poll of the iteration before, unless the loop was idle in between.
 */
export class ReadDelayMeter {
  #iterationStartedAt: number | undefined
  #previousIterationStartedAt = 0
  #idleMsBefore = 0
  #readableSince = 0

  /** Call it in each handler of received data. Returns the longest time for which that data can have been unread, in milliseconds. */
  measure (): number {
    const now = performance.now()
    if (this.#iterationStartedAt === undefined) this.#startIteration(now)
    return now - this.#readableSince
  }

  #startIteration (now: number): void {
    const wasIdle = performance.nodeTiming.idleTime > this.#idleMsBefore
    this.#readableSince = wasIdle ? now : this.#previousIterationStartedAt
    this.#iterationStartedAt = now
    setImmediate(() => {
      this.#previousIterationStartedAt = now
      this.#iterationStartedAt = undefined
      this.#idleMsBefore = performance.nodeTiming.idleTime
    })
  }
}

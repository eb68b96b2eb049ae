import { performance } from 'node:perf_hooks'

/**
 * Measures how long received data may have waited for its handler. The kernel does not tell when data arrived, but it was not readable yet when
 * the event loop last polled and read other data. If the loop has been idle since, it has arrived just now.
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

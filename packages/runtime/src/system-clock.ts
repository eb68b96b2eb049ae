import * as decisions from '@acaciaweir/decisions'
import * as timers from 'node:timers/promises'

/** The clock of the process: monotonic and wall-clock time in milliseconds, and real timers. */
export class SystemClock extends decisions.clock.Clock {
  override now (): number {
    return performance.now()
  }

  override wallNow (): number {
    return Date.now()
  }

  /** Resolves after the given time, or without an error as soon as the signal aborts. */
  override async sleep (milliseconds: number, signal?: AbortSignal): Promise<void> {
    try {
      await timers.setTimeout(milliseconds, undefined, { signal })
    } catch (error) {
      if (signal?.aborted === true) return
      throw error
    }
  }
}

import * as decisions from '@acaciaweir/decisions'
import * as timers from 'node:timers/promises'

/** The machine's monotonic clock. */
export class SystemClock extends decisions.clock.Clock {
  override now (): number {
    return performance.now()
  }

  override wallNow (): number {
    return Date.now()
  }

  override async sleep (milliseconds: number, signal?: AbortSignal): Promise<void> {
    try {
      await timers.setTimeout(milliseconds, undefined, { signal })
    } catch (error) {
      if (signal?.aborted === true) return
      throw error
    }
  }
}

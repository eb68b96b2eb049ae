import * as decisions from '@acaciaweir/decisions'

interface Sleeper {
  wakeAt: number
  wake: () => void
}

/** Clock whose time moves to the next sleeper's as soon as nothing else is left to do, so that concurrent tasks play in simulated time. */
export class VirtualClock extends decisions.clock.Clock {
  #time = 0
  #sleepers: Sleeper[] = []

  override now (): number { return this.#time }
  override wallNow (): number { return this.#time }

  override sleep (milliseconds: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const wake = (): void => {
        signal?.removeEventListener('abort', wake)
        this.#sleepers = this.#sleepers.filter((other) => other !== sleeper)
        resolve()
      }
      const sleeper = { wakeAt: this.#time + Math.max(0, milliseconds), wake }
      const index = this.#sleepers.findIndex((other) => other.wakeAt > sleeper.wakeAt)
      this.#sleepers.splice(index < 0 ? this.#sleepers.length : index, 0, sleeper)
      signal?.addEventListener('abort', wake)
    })
  }

  /** Plays until the given time, in milliseconds. */
  async runUntil (time: number): Promise<void> {
    await settlePromises()
    while (this.#sleepers.length > 0 && this.#sleepers[0].wakeAt <= time) {
      this.#time = this.#sleepers[0].wakeAt
      while (this.#sleepers.length > 0 && this.#sleepers[0].wakeAt <= this.#time) this.#sleepers[0].wake()
      await settlePromises()
    }
    this.#time = time
  }
}

async function settlePromises (): Promise<void> {
  await new Promise<void>((resolve) => { setImmediate(resolve) })
}

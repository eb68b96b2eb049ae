/** A message with the function that answers it. */
interface Envelope<Message, Reply> {
  message: Message
  resolve: (reply: Reply) => void
  reject: (reason: unknown) => void
}

/**
 * Owns its state and handles one message at a time, in the order of arrival.
 * Other tasks reach that state only by messages.
 */
export abstract class Task<Message, Reply> {
  readonly #waiting: Array<Envelope<Message, Reply>> = []
  #running = false

  /** Sends a message and returns its reply. Rejects where handling it failed. */
  ask (message: Message): Promise<Reply> {
    return new Promise((resolve, reject) => {
      this.#waiting.push({ message, resolve, reject })
      if (!this.#running) void this.#run()
    })
  }

  /** Handles one message. No other is handled meanwhile. */
  protected abstract handle (message: Message): Promise<Reply>

  async #run (): Promise<void> {
    this.#running = true
    for (let envelope = this.#waiting.shift(); envelope !== undefined; envelope = this.#waiting.shift()) {
      try {
        envelope.resolve(await this.handle(envelope.message))
      } catch (error) {
        envelope.reject(error)
      }
    }
    this.#running = false
  }
}

/** Calls a function again and again, with a pause in between, until stopped. A failed call is reported and does not end the loop. */
export class PeriodicTask {
  readonly #stop = new AbortController()
  readonly #loop: Promise<void>

  constructor (options: PeriodicOptions) {
    this.#loop = this.#run(options)
  }

  /** Ends the loop after the call in progress. */
  async stop (): Promise<void> {
    this.#stop.abort()
    await this.#loop
  }

  async #run (options: PeriodicOptions): Promise<void> {
    while (!this.#stop.signal.aborted) {
      try {
        await options.action(this.#stop.signal)
      } catch (error) {
        options.onError(error)
      }
      await options.sleep(options.intervalMs, this.#stop.signal)
    }
  }
}

/** What a periodic task does, and how often. */
export interface PeriodicOptions {
  intervalMs: number
  action: (signal: AbortSignal) => Promise<void>
  onError: (error: unknown) => void
  sleep: (milliseconds: number, signal: AbortSignal) => Promise<void>
}

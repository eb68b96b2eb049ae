/** A queued message with the callbacks that settle its promise. */
interface QueuedMessage<Message, Reply> {
  message: Message
  resolve: (reply: Reply) => void
  reject: (reason: unknown) => void
}

/**
 * An actor: it owns its state and handles one message at a time, in the order of arrival.
 * Other code accesses that state only by sending messages.
 */
export abstract class Actor<Message, Reply> {
  readonly #mailbox: Array<QueuedMessage<Message, Reply>> = []
  #isRunning = false

  /** Enqueues a message and resolves with the reply. Rejects with the error of `handle` if that fails. */
  ask (message: Message): Promise<Reply> {
    return new Promise((resolve, reject) => {
      this.#mailbox.push({ message, resolve, reject })
      if (!this.#isRunning) void this.#processMailbox()
    })
  }

  /** Handles one message and returns its reply. The next message is handled only after the promise settles. */
  protected abstract handle (message: Message): Promise<Reply>

  async #processMailbox (): Promise<void> {
    this.#isRunning = true
    for (let queued = this.#mailbox.shift(); queued !== undefined; queued = this.#mailbox.shift()) {
      try {
        queued.resolve(await this.handle(queued.message))
      } catch (error) {
        queued.reject(error)
      }
    }
    this.#isRunning = false
  }
}

/** Calls a function repeatedly, with a pause after each call, until stopped. An error is passed to `onError` and does not end the loop. */
export class PeriodicTask {
  readonly #stopController = new AbortController()
  readonly #loop: Promise<void>

  constructor (options: PeriodicTaskOptions) {
    this.#loop = this.#run(options)
  }

  /** Aborts the signal of the call in progress and resolves when that call has ended. */
  async stop (): Promise<void> {
    this.#stopController.abort()
    await this.#loop
  }

  async #run (options: PeriodicTaskOptions): Promise<void> {
    while (!this.#stopController.signal.aborted) {
      try {
        await options.action(this.#stopController.signal)
      } catch (error) {
        options.onError(error)
      }
      await options.sleep(options.intervalMs, this.#stopController.signal)
    }
  }
}

/** Action and schedule of a periodic task. */
export interface PeriodicTaskOptions {
  /** Pause after each call, in milliseconds. */
  intervalMs: number
  /** The signal aborts when the task is stopped. */
  action: (signal: AbortSignal) => Promise<void>
  onError: (error: unknown) => void
  sleep: (milliseconds: number, signal: AbortSignal) => Promise<void>
}

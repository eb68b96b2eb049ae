/** Source of time, injected so that decisions and tests can use a fixed clock. */
export abstract class Clock {
  /** Returns the monotonic time in milliseconds. */
  abstract now (): number
  /** Returns the wall-clock time in milliseconds since 1970. Compare it only with wide margins. */
  abstract wallNow (): number
  /** Resolves after a delay, or as soon as the signal is aborted. */
  abstract sleep (milliseconds: number, signal?: AbortSignal): Promise<void>
}

/** Source of time. Injected, so that decisions and tests can run on a fixed clock. */
export abstract class Clock {
  /** Monotonic time in milliseconds. */
  abstract now (): number
  /** Wall-clock time in milliseconds since 1970; compared only with wide margins. */
  abstract wallNow (): number
  /** Resolves after a delay in milliseconds, or at once when the signal is aborted. */
  abstract sleep (milliseconds: number, signal?: AbortSignal): Promise<void>
}

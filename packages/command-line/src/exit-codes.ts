/** Exit codes of the command line. */
export const ExitCode = { done: 0, failed: 1, badInput: 2, conflict: 3, unreachable: 4 } as const
export type ExitCode = typeof ExitCode[keyof typeof ExitCode]

/** A command could not do what was asked. */
export class CommandError extends Error {
  readonly exitCode: ExitCode
  readonly details: unknown

  constructor (message: string, exitCode: ExitCode, details?: unknown) {
    super(message)
    this.exitCode = exitCode
    this.details = details
  }
}

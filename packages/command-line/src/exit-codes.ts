export const ExitCode = { success: 0, failure: 1, invalidInput: 2, conflict: 3, unreachable: 4 } as const
export type ExitCode = typeof ExitCode[keyof typeof ExitCode]

/** A command failed. `details` is printed with `--json`. */
export class CommandError extends Error {
  readonly exitCode: ExitCode
  readonly details: unknown

  constructor (message: string, exitCode: ExitCode, details?: unknown) {
    super(message)
    this.exitCode = exitCode
    this.details = details
  }
}

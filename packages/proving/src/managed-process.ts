import * as childProcess from 'node:child_process'
import * as readline from 'node:readline'

/** A child process that runs a Node.js script and whose JSON lines on standard output are recorded. */
export class ManagedProcess {
  readonly #child: childProcess.ChildProcess
  readonly #exited: Promise<number | undefined>
  readonly #waiters: Array<{ matches: (line: Record<string, unknown>) => boolean, resolve: (line: Record<string, unknown>) => void }> = []
  /** Parsed lines in the order of output; lines that are no JSON are ignored. */
  readonly events: Array<Record<string, unknown>> = []

  constructor (script: string, argv: string[], environment: Record<string, string> = {}, nodeOptions: string[] = []) {
    this.#child = childProcess.spawn(process.execPath, [...nodeOptions, script, ...argv], {
      env: { ...process.env, ...environment },
      stdio: ['ignore', 'pipe', 'inherit']
    })
    this.#exited = new Promise((resolve) => { this.#child.on('exit', (code) => { resolve(code ?? undefined) }) })
    const lines = readline.createInterface({ input: this.#child.stdout as NodeJS.ReadableStream })
    lines.on('line', (line) => { this.#recordEvent(line) })
  }

  get pid (): number | undefined {
    return this.#child.pid
  }

  /** Resolves with the first event that matches, also if it was printed before the call. */
  waitForEvent (matches: (line: Record<string, unknown>) => boolean): Promise<Record<string, unknown>> {
    const found = this.events.find(matches)
    if (found !== undefined) return Promise.resolve(found)
    return new Promise((resolve) => { this.#waiters.push({ matches, resolve }) })
  }

  /** Sends a signal to this process, not to its children. */
  signal (name: NodeJS.Signals): void {
    this.#child.kill(name)
  }

  /** Resolves with the exit code; undefined if a signal ended the process. */
  waitForExit (): Promise<number | undefined> {
    return this.#exited
  }

  #recordEvent (line: string): void {
    let event: Record<string, unknown>
    try {
      event = JSON.parse(line) as Record<string, unknown>
    } catch {
      return
    }
    this.events.push(event)
    for (const waiter of this.#waiters.filter((entry) => entry.matches(event))) waiter.resolve(event)
  }
}

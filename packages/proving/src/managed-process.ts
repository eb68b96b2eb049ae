import * as childProcess from 'node:child_process'
import * as readline from 'node:readline'

/** One started program, followed by the lines that it prints. */
export class ManagedProcess {
  readonly #child: childProcess.ChildProcess
  readonly #exited: Promise<number | undefined>
  readonly #watchers: Array<{ matches: (line: Record<string, unknown>) => boolean, resolve: (line: Record<string, unknown>) => void }> = []
  readonly events: Array<Record<string, unknown>> = []

  constructor (script: string, argv: string[], environment: Record<string, string> = {}) {
    this.#child = childProcess.spawn(process.execPath, [script, ...argv], {
      env: { ...process.env, ...environment },
      stdio: ['ignore', 'pipe', 'inherit']
    })
    this.#exited = new Promise((resolve) => { this.#child.on('exit', (code) => { resolve(code ?? undefined) }) })
    const lines = readline.createInterface({ input: this.#child.stdout as NodeJS.ReadableStream })
    lines.on('line', (line) => { this.#note(line) })
  }

  get pid (): number | undefined {
    return this.#child.pid
  }

  /** Resolves with the first printed event that matches. */
  waitFor (matches: (line: Record<string, unknown>) => boolean): Promise<Record<string, unknown>> {
    const found = this.events.find(matches)
    if (found !== undefined) return Promise.resolve(found)
    return new Promise((resolve) => { this.#watchers.push({ matches, resolve }) })
  }

  /** Sends a signal to this process only. */
  signal (name: NodeJS.Signals): void {
    this.#child.kill(name)
  }

  /** Resolves with the exit code; undefined where a signal ended the process. */
  exited (): Promise<number | undefined> {
    return this.#exited
  }

  #note (line: string): void {
    let event: Record<string, unknown>
    try {
      event = JSON.parse(line) as Record<string, unknown>
    } catch {
      return
    }
    this.events.push(event)
    for (const watcher of this.#watchers.filter((entry) => entry.matches(event))) watcher.resolve(event)
  }
}

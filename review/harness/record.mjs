import * as fs from 'node:fs'

/** Writes what a case sent, answered and ran to a file, one line each, with the time since the start of the case. */
export class Record {
  #startedAt = performance.now()
  #file

  constructor (path) {
    this.#file = fs.openSync(path, 'w')
  }

  /** Time since the start of the case, in milliseconds. */
  get elapsedMs () {
    return Math.round(performance.now() - this.#startedAt)
  }

  write (event, details = {}) {
    fs.writeSync(this.#file, `${String(this.elapsedMs).padStart(6)} ms  ${event} ${JSON.stringify(details)}\n`)
  }

  close () {
    fs.closeSync(this.#file)
  }
}

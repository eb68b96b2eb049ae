import * as path from 'node:path'
import * as records from './record.mjs'

/** Exit codes of a case, as its `run.sh` returns them. */
export const Verdict = { held: 0, broken: 1, notRun: 2 }

/** Time after which a case that has not ended counts as not run, in milliseconds. */
const MAXIMUM_DURATION_MS = 110_000

/** The case could not be set up or its outcome says nothing about the rule. */
export class CaseError extends Error {}

/** One case of the review. Subclasses play the events and judge what clients, targets and the platform have seen. */
export class ReviewCase {
  #deployment

  /** False for the run without the disruption. */
  hasTrouble = process.env.TROUBLE !== '0'

  constructor (directory, createDeployment) {
    this.record = new records.Record(path.join(directory, 'record.txt'))
    this.#deployment = createDeployment(this.record)
  }

  get deployment () {
    return this.#deployment
  }

  /** Plays the case. Resolves with what broke the rule, one text for each; empty if the rule held. Throws CaseError if the case says nothing. */
  async play () {
    throw new Error('not implemented')
  }

  /** Plays the case, writes the verdict and ends the process with its exit code. */
  async run () {
    const timer = setTimeout(() => { this.#end(Verdict.notRun, ['the case took too long']) }, MAXIMUM_DURATION_MS)
    this.record.write('case', { hasTrouble: this.hasTrouble })
    try {
      await this.deployment.start()
      const breaches = await this.play()
      clearTimeout(timer)
      this.#end(breaches.length > 0 ? Verdict.broken : Verdict.held, breaches)
    } catch (error) {
      this.#end(Verdict.notRun, [error instanceof CaseError ? error.message : error.stack])
    }
  }

  #end (verdict, reasons) {
    this.deployment.stop()
    const name = Object.keys(Verdict).find((key) => Verdict[key] === verdict)
    this.record.write('verdict', { name, reasons })
    this.record.close()
    process.stdout.write(`${name}${reasons.map((reason) => `\n  ${reason}`).join('')}\n`)
    process.exit(verdict)
  }
}

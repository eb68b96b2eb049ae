import type * as runtime from '@acaciaweir/runtime'

/** Gateways that one line names. It counts the rest. */
const MAXIMUM_NAMED_GATEWAYS = 8

/** Logs which gateways were lost and regained, in at most one line of each kind a call however many there are. */
export class MembershipLog {
  readonly #logger: runtime.logging.Logger
  #regained: string[] = []

  constructor (logger: runtime.logging.Logger) {
    this.#logger = logger
  }

  /** Records an incarnation that is heard for the first time, or again. */
  recordRegained (incarnation: string): void {
    this.#regained.push(incarnation)
  }

  /** Writes what was recorded since the last call, and the incarnations that fell silent. */
  write (silent: ReadonlyArray<{ incarnation: string, silentMs: number }>): void {
    const regained = this.#regained.splice(0)
    if (regained.length > 0) this.#logger.info({ event: 'dependency-regained', dependency: 'gateway', count: regained.length, incarnations: regained.slice(0, MAXIMUM_NAMED_GATEWAYS) })
    if (silent.length > 0) this.#logger.warn({ event: 'dependency-lost', dependency: 'gateway', count: silent.length, incarnations: silent.slice(0, MAXIMUM_NAMED_GATEWAYS).map(({ incarnation }) => incarnation), silentMs: Math.max(...silent.map(({ silentMs }) => silentMs)) })
  }
}

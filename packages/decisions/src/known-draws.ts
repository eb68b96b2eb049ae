import type * as tokenPage from './token-page.js'

/** Incarnations whose draws are remembered. Only those of the last seconds before the store failed can be missing in a backup. */
const MAXIMUM_INCARNATIONS = 256

/**
 * The newest draws that this router knows of each incarnation, from token pages and from heartbeats. They survive the store, which may
 * come back from a backup without the last of them.
 */
export class KnownDraws {
  readonly #draws = new Map<string, tokenPage.IncarnationDraws>()

  /** Remembers the draws of an incarnation, unless newer ones are known. */
  learn (incarnation: string, draws: tokenPage.IncarnationDraws): void {
    const known = this.#draws.get(incarnation)
    if (known !== undefined && known.change >= draws.change) return
    this.#draws.delete(incarnation)
    this.#draws.set(incarnation, draws)
    for (const oldest of this.#draws.keys()) {
      if (this.#draws.size <= MAXIMUM_INCARNATIONS) break
      this.#draws.delete(oldest)
    }
  }

  /** Remembers all draws that a page records. */
  learnPage (page: tokenPage.TokenPage): void {
    for (const [incarnation, draws] of Object.entries(page.drawnBy ?? {})) this.learn(incarnation, draws)
  }

  /** Returns the known draws by incarnation. */
  entries (): ReadonlyMap<string, tokenPage.IncarnationDraws> {
    return this.#draws
  }
}

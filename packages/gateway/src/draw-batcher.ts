import type * as decisions from '@acaciaweir/decisions'
import type * as pageClients from './token-page-client.js'

/** Time for which draws ahead of demand wait for others to be written with them, in milliseconds. */
const MERGE_WINDOW_MS = 400

/** Draws that the next write of the page covers. */
interface Batch {
  draws: Map<string, number>
  result: Promise<pageClients.PageResult>
  writeSoon: () => void
}

/** Merges draws of many gateways into few writes of the token page. */
export class DrawBatcher {
  readonly #pageClient: pageClients.TokenPageClient
  readonly #clock: decisions.clock.Clock
  #batch: Batch | undefined
  #lastWrite: Promise<unknown> = Promise.resolve()

  constructor (pageClient: pageClients.TokenPageClient, clock: decisions.clock.Clock) {
    this.#pageClient = pageClient
    this.#clock = clock
  }

  /**
   * Draws tokens by account into the pool. Urgent draws, for which requests wait, are written as soon as the write in progress has ended,
   * together with all that wait; others a little later.
   */
  async draw (draws: ReadonlyMap<string, number>, isUrgent: boolean): Promise<pageClients.PageResult> {
    this.#batch ??= this.#startBatch()
    const { result, writeSoon, draws: merged } = this.#batch
    for (const [account, tokens] of draws) merged.set(account, (merged.get(account) ?? 0) + tokens)
    if (isUrgent) writeSoon()
    return await result
  }

  #startBatch (): Batch {
    const draws = new Map<string, number>()
    const timer = new AbortController()
    return { draws, result: this.#write(draws, timer.signal), writeSoon: () => { timer.abort() } }
  }

  async #write (draws: Map<string, number>, timer: AbortSignal): Promise<pageClients.PageResult> {
    await this.#clock.sleep(MERGE_WINDOW_MS, timer)
    await this.#lastWrite
    this.#batch = undefined
    const write = this.#pageClient.ask(draws)
    this.#lastWrite = write.catch(() => {})
    return await write
  }
}

import * as decisions from '@acaciaweir/decisions'

type Entry = decisions.agreementTypes.TargetEntry

const { targetRunAtAddress } = decisions.agreementTypes

/** Place of a request among those that wait for a target of a service with room. */
export class WaitingTurn {
  readonly rank: number
  readonly account: string
  #wake: (isRoomFree: boolean) => void = () => {}

  constructor (rank: number, account: string) {
    this.rank = rank
    this.account = account
  }

  /** Resolves when it is this request's turn, with true, or with false after `maximumMs`, or when the signal aborts. */
  async next (maximumMs: number, signal: AbortSignal): Promise<boolean> {
    return await new Promise<boolean>((resolve) => {
      const giveUp = (): void => { this.#wake(false) }
      this.#wake = (isRoomFree) => {
        clearTimeout(timer)
        signal.removeEventListener('abort', giveUp)
        resolve(isRoomFree)
      }
      const timer = setTimeout(giveUp, maximumMs)
      signal.addEventListener('abort', giveUp)
    })
  }

  wake (): void {
    this.#wake(true)
  }
}

/**
 * Counts the connections in use to each target. A request waits here, before its target is chosen, rather than in the connection pool of
 * one target: by the time that it can be sent, that target may be leaving while another has room.
 */
export class ConnectionSlots {
  readonly #limitOf: (service: string) => number
  readonly #maximumConnections: number
  readonly #onFull: () => void
  #totalInUse = 0
  readonly #inUse = new Map<string, number>()
  /** Requests with a connection, by service and account. */
  readonly #inUseByAccount = new Map<string, number>()
  /** Requests that wait, by service, the most urgent first and in order of arrival. */
  readonly #turns = new Map<string, WaitingTurn[]>()

  /** `limitOf` returns the connections that this gateway may open to each target of a service; `maximumConnections` bounds those to all targets. `onFull` frees one of them. */
  constructor (limitOf: (service: string) => number, maximumConnections = Infinity, onFull = (): void => {}) {
    this.#limitOf = limitOf
    this.#maximumConnections = maximumConnections
    this.#onFull = onFull
  }

  hasRoom (entry: Entry): boolean {
    return this.#totalInUse < this.#maximumConnections && (this.#inUse.get(targetRunAtAddress(entry)) ?? 0) < this.#limitOf(entry.service)
  }

  /** Takes a connection to a target for an account. Call the returned function once, when the connection is free again. */
  take (entry: Entry, account = ''): () => void {
    const key = targetRunAtAddress(entry)
    this.#inUse.set(key, (this.#inUse.get(key) ?? 0) + 1)
    this.#totalInUse += 1
    const accountKey = `${entry.service} ${account}`
    this.#inUseByAccount.set(accountKey, (this.#inUseByAccount.get(accountKey) ?? 0) + 1)
    return () => {
      const wasFull = this.#totalInUse >= this.#maximumConnections
      this.#totalInUse -= 1
      const left = (this.#inUse.get(key) ?? 0) - 1
      if (left > 0) this.#inUse.set(key, left)
      else this.#inUse.delete(key)
      const leftOfAccount = (this.#inUseByAccount.get(accountKey) ?? 0) - 1
      if (leftOfAccount > 0) this.#inUseByAccount.set(accountKey, leftOfAccount)
      else this.#inUseByAccount.delete(accountKey)
      if (wasFull) for (const service of this.#turns.keys()) this.#wakeNext(service)
      else this.#wakeNext(entry.service)
    }
  }

  /** Wakes the next request of a service: of the most urgent ones, the first of the account that has the fewest connections. */
  #wakeNext (service: string, after?: WaitingTurn): void {
    const order = this.#inOrder(service)
    order[after === undefined ? 0 : order.indexOf(after) + 1]?.wake()
  }

  #inOrder (service: string): WaitingTurn[] {
    const inUse = (turn: WaitingTurn): number => this.#inUseByAccount.get(`${service} ${turn.account}`) ?? 0
    return [...this.#turns.get(service) ?? []].sort((left, right) => left.rank - right.rank || inUse(left) - inUse(right))
  }

  /** Wakes the request behind one that was woken and still waits. */
  passOn (service: string, turn: WaitingTurn): void {
    this.#wakeNext(service, turn)
  }

  /** Call it when a request has to wait. */
  makeRoom (): void {
    if (this.#totalInUse >= this.#maximumConnections) this.#onFull()
  }

  /** Queues a request behind those of its service that are as urgent. Call `leaveQueue` when it no longer waits. */
  joinQueue (service: string, rank: number, account = ''): WaitingTurn {
    const turn = new WaitingTurn(rank, account)
    const turns = this.#turns.get(service) ?? []
    const position = turns.findIndex((other) => other.rank > rank)
    turns.splice(position === -1 ? turns.length : position, 0, turn)
    this.#turns.set(service, turns)
    return turn
  }

  leaveQueue (service: string, turn: WaitingTurn): void {
    const left = (this.#turns.get(service) ?? []).filter((other) => other !== turn)
    if (left.length > 0) this.#turns.set(service, left)
    else this.#turns.delete(service)
  }
}

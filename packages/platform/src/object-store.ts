/** An object of the store with its last revision. */
export interface StoreObject<Value = unknown> {
  name: string
  /** Revision of the object's last change. */
  revision: number
  value: Value
}

/** Status of a store call. Only `unknown` leaves open whether a write took effect. */
export const StoreStatus = {
  done: 'done',
  /** The object has another revision than the expected one, or exists already. Nothing was written. */
  conflict: 'conflict',
  missing: 'missing',
  /** The revision to watch from is no longer in the store's history. */
  historyGone: 'history-gone',
  /** The store refused the call. Nothing was done. */
  refused: 'refused',
  /** No answer arrived. A write may have taken effect, or may still do so. */
  unknown: 'unknown'
} as const
export type StoreStatus = typeof StoreStatus[keyof typeof StoreStatus]

/** A call without a result, with the step at which it failed. */
export interface StoreFailure {
  status: Exclude<StoreStatus, 'done'>
  step: string
  reason: string
  /** The current object, if the store returned it with a conflict. */
  currentObject?: StoreObject
}

export interface StoreSuccess<Result> {
  status: typeof StoreStatus.done
  result: Result
}

export type StoreOutcome<Result> = StoreSuccess<Result> | StoreFailure

/** All objects of a kind, and the store's revision at which they were read. */
export interface ObjectList {
  objects: StoreObject[]
  revision: number
}

/** A change of an object, as reported by a watch. */
export interface ObjectEvent {
  object: StoreObject
  removed: boolean
}

/** Changes after a revision, and the revision at which the next watch starts. */
export interface ObjectEvents {
  events: ObjectEvent[]
  revision: number
}

/** Store calls since the client was created, by kind. */
export type StoreCallCounts = Record<'read' | 'write' | 'list' | 'watch', number>

/** Epoch of a store that has never come back from a backup, or that has no epochs. */
export const FIRST_EPOCH = 1

/** An object store with revisions, conditional writes and watches. Calls return a typed outcome and never throw. */
export abstract class ObjectStore {
  readonly callCounts: StoreCallCounts = { read: 0, write: 0, list: 0, watch: 0 }
  readonly #epochListeners: Array<(epoch: number) => void> = []
  readonly #callListeners: Array<(status: StoreStatus) => void> = []
  #epoch = 0

  /**
   * Newest known epoch of the store, from `FIRST_EPOCH`; 0 before the first answer. It grows by one when the store comes back from a backup. The store then
   * lacks its last changes, and gives their revisions to other ones.
   */
  get epoch (): number {
    return this.#epoch
  }

  /** Takes note of an epoch that an answer of the store or another router told. Returns false if a newer one is known. */
  learnEpoch (epoch: number): boolean {
    if (epoch <= this.#epoch) return epoch === this.#epoch
    const isFirst = this.#epoch === 0
    this.#epoch = epoch
    if (!isFirst) for (const notify of this.#epochListeners) notify(epoch)
    return true
  }

  /** Calls the listener with each new epoch, except the first one. */
  onNewEpoch (listener: (epoch: number) => void): void {
    this.#epochListeners.push(listener)
  }

  /** Calls the listener with the status of each call that has ended. */
  onCallEnd (listener: (status: StoreStatus) => void): void {
    this.#callListeners.push(listener)
  }

  protected reportCallEnd (status: StoreStatus): void {
    for (const notify of this.#callListeners) notify(status)
  }

  abstract read (kind: string, name: string): Promise<StoreOutcome<StoreObject>>
  /** Lists all objects of a kind, page by page if necessary. */
  abstract list (kind: string): Promise<StoreOutcome<ObjectList>>
  /** Waits at most `waitMs` milliseconds for changes of a kind after a revision. */
  abstract watch (kind: string, revision: number, waitMs: number): Promise<StoreOutcome<ObjectEvents>>
  abstract create (kind: string, name: string, value: unknown): Promise<StoreOutcome<StoreObject>>
  /** Replaces an object if it still has the given revision. */
  abstract replace (kind: string, name: string, value: unknown, revision: number): Promise<StoreOutcome<StoreObject>>
  /** Removes an object if it still has the given revision. */
  abstract remove (kind: string, name: string, revision: number): Promise<StoreOutcome<undefined>>
}

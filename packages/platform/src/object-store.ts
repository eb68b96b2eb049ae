/** An object as the store holds it. */
export interface StoreObject<Value = unknown> {
  name: string
  /** Revision of the object's last change. */
  revision: number
  value: Value
}

/** Outcome of a store call. Only `unknown` leaves open whether a write took effect. */
export const StoreStatus = {
  done: 'done',
  /** The object has another revision, or exists already. Nothing was written. */
  conflict: 'conflict',
  missing: 'missing',
  /** The revision to watch from is no longer in the store's history. */
  historyGone: 'history-gone',
  /** The store turned the call away. Nothing was done. */
  refused: 'refused',
  /** No answer came. A write may have taken effect, or may yet. */
  unknown: 'unknown'
} as const
export type StoreStatus = typeof StoreStatus[keyof typeof StoreStatus]

/** A call that brought no result, with its step. */
export interface StoreFailure {
  status: Exclude<StoreStatus, 'done'>
  step: string
  reason: string
  /** The object as it is, where the store told it with a conflict. */
  present?: StoreObject
}

/** A call that brought its result. */
export interface StoreDone<Result> {
  status: typeof StoreStatus.done
  result: Result
}

/** Outcome of a call with its result, or why there is none. */
export type StoreOutcome<Result> = StoreDone<Result> | StoreFailure

/** Objects of a kind, and the store's revision when they were read. */
export interface ObjectList {
  objects: StoreObject[]
  revision: number
}

/** One change that a watch reports. */
export interface ObjectEvent {
  object: StoreObject
  removed: boolean
}

/** Changes since a revision, and the revision to watch from next. */
export interface ObjectEvents {
  events: ObjectEvent[]
  revision: number
}

/** Counts of store calls since the client was made. */
export type StoreCallCounts = Record<'read' | 'write' | 'list' | 'watch', number>

/** An object store with revisions, conditional writes and watches. No call throws; each outcome is typed. */
export abstract class ObjectStore {
  readonly counts: StoreCallCounts = { read: 0, write: 0, list: 0, watch: 0 }

  abstract read (kind: string, name: string): Promise<StoreOutcome<StoreObject>>
  /** Lists all objects of a kind, over as many pages as it takes. */
  abstract list (kind: string): Promise<StoreOutcome<ObjectList>>
  /** Waits for changes of a kind after a revision, at most `waitMs`. */
  abstract watch (kind: string, revision: number, waitMs: number): Promise<StoreOutcome<ObjectEvents>>
  abstract create (kind: string, name: string, value: unknown): Promise<StoreOutcome<StoreObject>>
  /** Replaces an object that still has the given revision. */
  abstract replace (kind: string, name: string, value: unknown, revision: number): Promise<StoreOutcome<StoreObject>>
  /** Removes an object that still has the given revision. */
  abstract remove (kind: string, name: string, revision: number): Promise<StoreOutcome<undefined>>
}

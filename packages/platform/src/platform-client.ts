/** An object that the platform returned. Its version is opaque and changes with each write. */
export interface StoredObject {
  key: string
  version: string
  value: unknown
}

/** Outcome of a conditional write. After `unknown`, the write may or may not have taken effect. */
export type WriteResult =
  | { kind: 'written', version: string }
  | { kind: 'conflict' }
  | { kind: 'unknown', reason: string }

/** A host in the platform's host list. */
export interface ListedHost {
  host: string
  leaving: boolean
}

/** A target in the platform's host list. */
export interface ListedTarget {
  target: string
  leaving: boolean
}

/** The platform's list of live and leaving hosts and targets. It lags behind the actual state. */
export interface HostList {
  hosts: ListedHost[]
  targets: ListedTarget[]
}

/** A platform call failed or returned no usable answer. */
export class PlatformUnavailable extends Error {
  readonly step: string
  readonly peer = 'platform'

  constructor (step: string, reason: string) {
    super(`platform unavailable at ${step}: ${reason}`)
    this.step = step
  }
}

/** Platform calls since the client was created, by kind. */
export type CallCounts = Record<'read' | 'write' | 'list' | 'watch', number>

/** Client of the platform's object API, which has versioned objects, conditional writes and watches with a time limit. */
export abstract class PlatformClient {
  /** Calls made, by kind. A watch counts as one call, however long it waits. */
  abstract get callCounts (): CallCounts

  /** Returns an object, or undefined if it does not exist. Throws PlatformUnavailable. */
  abstract read (key: string): Promise<StoredObject | undefined>
  /** Writes an object if it still has the expected version. An undefined version means that the object must not exist yet. */
  abstract write (key: string, value: unknown, expectedVersion: string | undefined): Promise<WriteResult>
  /** Removes an object if it still has the expected version. */
  abstract remove (key: string, expectedVersion: string): Promise<WriteResult>
  /** Returns all objects whose keys start with the prefix. Throws PlatformUnavailable. */
  abstract list (prefix: string): Promise<StoredObject[]>
  /**
   * Waits at most `waitMs` milliseconds until the object has another version than the known one. Returns the object, or
   * undefined if it does not exist. Throws PlatformUnavailable.
   */
  abstract watch (key: string, knownVersion: string | undefined, waitMs: number): Promise<StoredObject | undefined>
  /** Reads the platform's host list. Throws PlatformUnavailable. */
  abstract readHostList (): Promise<HostList>
}

/** An object as the platform returned it. The version is opaque and changes with each write. */
export interface StoredObject {
  key: string
  version: string
  value: unknown
}

/** Outcome of a conditional write. `unknown` means that the write may or may not have taken effect. */
export type WriteResult =
  | { kind: 'written', version: string }
  | { kind: 'conflict' }
  | { kind: 'unknown', reason: string }

/** A host as the platform's lagging host list shows it. */
export interface ListedHost {
  host: string
  leaving: boolean
}

/** A target as the platform's lagging host list shows it. */
export interface ListedTarget {
  target: string
  leaving: boolean
}

/** The platform's list of live and leaving hosts and targets. */
export interface HostList {
  hosts: ListedHost[]
  targets: ListedTarget[]
}

/** The platform gave no usable answer to a read. */
export class PlatformUnavailable extends Error {
  readonly step: string
  readonly peer = 'platform'

  constructor (step: string, reason: string) {
    super(`platform unavailable at ${step}: ${reason}`)
    this.step = step
  }
}

/** Counts of calls by kind, since the client was made. */
export type CallCounts = Record<'read' | 'write' | 'list' | 'watch', number>

/** The platform's object API, with versions, conditional updates and bounded watches. */
export abstract class PlatformClient {
  /** Calls made, by kind. A waiting watch counts as one. */
  abstract get counts (): CallCounts

  /** Reads an object, or undefined where there is none. Throws PlatformUnavailable. */
  abstract read (key: string): Promise<StoredObject | undefined>
  /** Writes where the object still has the given version; undefined means that it must not exist yet. */
  abstract write (key: string, value: unknown, expectedVersion: string | undefined): Promise<WriteResult>
  /** Removes an object that still has the given version. */
  abstract remove (key: string, expectedVersion: string): Promise<WriteResult>
  /** Reads all objects whose keys start with the prefix. Throws PlatformUnavailable. */
  abstract list (prefix: string): Promise<StoredObject[]>
  /** Waits until the object has another version than the given one, or the time is over. Throws PlatformUnavailable. */
  abstract watch (key: string, knownVersion: string | undefined, waitMs: number): Promise<StoredObject | undefined>
  /** Reads the list of hosts and targets. Throws PlatformUnavailable. */
  abstract hosts (): Promise<HostList>
}

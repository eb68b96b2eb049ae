import type * as stores from './object-store.js'
import * as client from './platform-client.js'

/** Kinds of the store's objects that make up the platform's host list. */
const LISTED_HOSTS_KIND = 'listed-hosts'
const LISTED_TARGETS_KIND = 'listed-targets'

/** Prefix of the kinds that belong to this system. */
const KIND_PREFIX = 'acaciaweir-'

/** Rest of a wait that is not asked for in another call, in milliseconds. The store's timer and this process's differ by less. */
const SHORTEST_WAIT_MS = 10

interface ObjectName {
  kind: string
  name: string
}

/**
 * Platform client that maps keys to the objects of an object store. The first segment of a key is the kind; the others,
 * joined by dots, are the object's name. No segment contains a dot.
 */
export class KeyedStore extends client.PlatformClient {
  readonly #store: stores.ObjectStore

  constructor (store: stores.ObjectStore) {
    super()
    this.#store = store
  }

  override get callCounts (): client.CallCounts {
    return this.#store.callCounts
  }

  override async read (key: string): Promise<client.StoredObject | undefined> {
    const { kind, name } = parseKey(key)
    const outcome = await this.#store.read(kind, name)
    if (outcome.status === 'missing') return undefined
    return toStoredObject(key, resultOrThrow(outcome))
  }

  override async write (key: string, value: unknown, expectedVersion: string | undefined): Promise<client.WriteResult> {
    const { kind, name } = parseKey(key)
    const outcome = expectedVersion === undefined
      ? await this.#store.create(kind, name, value)
      : await this.#store.replace(kind, name, value, Number(expectedVersion))
    return outcome.status === 'done' ? { kind: 'written', version: String(outcome.result.revision) } : toWriteFailure(outcome)
  }

  override async remove (key: string, expectedVersion: string): Promise<client.WriteResult> {
    const { kind, name } = parseKey(key)
    const outcome = await this.#store.remove(kind, name, Number(expectedVersion))
    return outcome.status === 'done' ? { kind: 'written', version: '' } : toWriteFailure(outcome)
  }

  override async list (prefix: string): Promise<client.StoredObject[]> {
    const { kind, name } = parseKey(prefix)
    const { objects } = resultOrThrow(await this.#store.list(kind))
    const keyKind = prefix.split('/')[0]
    return objects.filter((object) => object.name.startsWith(name)).map((object) => toStoredObject(`${keyKind}/${object.name.replaceAll('.', '/')}`, object))
  }

  override async watch (key: string, knownVersion: string | undefined, waitMs: number): Promise<client.StoredObject | undefined> {
    const { kind, name } = parseKey(key)
    const deadline = performance.now() + waitMs
    let revision = knownVersion === undefined ? await this.#readRevision(kind) : Number(knownVersion)
    for (;;) {
      const remainingMs = deadline - performance.now()
      const current = await this.read(key)
      if (current?.version !== knownVersion || remainingMs < SHORTEST_WAIT_MS) return current
      const outcome = await this.#store.watch(kind, revision, remainingMs)
      if (outcome.status === 'history-gone') {
        revision = await this.#readRevision(kind)
        continue
      }
      const changes = resultOrThrow(outcome)
      revision = changes.revision
      const change = changes.events.filter((event) => event.object.name === name).at(-1)
      if (change !== undefined) return change.removed ? undefined : toStoredObject(key, change.object)
    }
  }

  override async readHostList (): Promise<client.HostList> {
    const [hosts, targets] = await Promise.all([this.#readListedObjects(LISTED_HOSTS_KIND), this.#readListedObjects(LISTED_TARGETS_KIND)])
    return {
      hosts: hosts.map(({ name, leaving }) => ({ host: name, leaving })),
      targets: targets.map(({ name, leaving }) => ({ target: name, leaving }))
    }
  }

  /** Returns the store's revision. An object that is read afterwards contains all changes up to it. */
  async #readRevision (kind: string): Promise<number> {
    return resultOrThrow(await this.#store.list(kind)).revision
  }

  async #readListedObjects (kind: string): Promise<Array<{ name: string, leaving: boolean }>> {
    const { objects } = resultOrThrow(await this.#store.list(kind))
    return objects.map((object) => ({ name: object.name, leaving: (object.value as { leaving?: unknown } | null)?.leaving === true }))
  }
}

function parseKey (key: string): ObjectName {
  const [kind, ...name] = key.split('/')
  return { kind: KIND_PREFIX + kind, name: name.join('.') }
}

function toStoredObject (key: string, object: stores.StoreObject): client.StoredObject {
  return { key, version: String(object.revision), value: object.value }
}

function resultOrThrow<Result> (outcome: stores.StoreOutcome<Result>): Result {
  if (outcome.status === 'done') return outcome.result
  throw new client.PlatformUnavailable(outcome.step, outcome.reason)
}

/**
 * Converts a failed write. A refused write is reported as `unknown` although it has not taken effect: callers read the
 * object and retry, as they do after a lost answer.
 */
function toWriteFailure (failure: stores.StoreFailure): client.WriteResult {
  if (failure.status === 'conflict' || failure.status === 'missing') return { kind: 'conflict' }
  return { kind: 'unknown', reason: failure.reason }
}

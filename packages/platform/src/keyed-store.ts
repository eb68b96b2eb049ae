import type * as stores from './object-store.js'
import * as client from './platform-client.js'

/** Kinds under which the host list stands. */
const LISTED_HOSTS_KIND = 'listed-hosts'
const LISTED_TARGETS_KIND = 'listed-targets'

/** Start of the names of this system's own kinds. */
const KIND_PREFIX = 'acaciaweir-'

/** An object's kind and name in the store. */
interface ObjectName {
  kind: string
  name: string
}

/**
 * The objects of an object store by key. A key's first part is its kind; parts of the name are joined by dots,
 * which no part contains.
 */
export class KeyedStore extends client.PlatformClient {
  readonly #store: stores.ObjectStore

  constructor (store: stores.ObjectStore) {
    super()
    this.#store = store
  }

  override get counts (): client.CallCounts {
    return this.#store.counts
  }

  override async read (key: string): Promise<client.StoredObject | undefined> {
    const { kind, name } = objectName(key)
    const outcome = await this.#store.read(kind, name)
    if (outcome.status === 'missing') return undefined
    return storedObject(key, required(outcome))
  }

  override async write (key: string, value: unknown, expectedVersion: string | undefined): Promise<client.WriteResult> {
    const { kind, name } = objectName(key)
    const outcome = expectedVersion === undefined
      ? await this.#store.create(kind, name, value)
      : await this.#store.replace(kind, name, value, Number(expectedVersion))
    return outcome.status === 'done' ? { kind: 'written', version: String(outcome.result.revision) } : notWritten(outcome)
  }

  override async remove (key: string, expectedVersion: string): Promise<client.WriteResult> {
    const { kind, name } = objectName(key)
    const outcome = await this.#store.remove(kind, name, Number(expectedVersion))
    return outcome.status === 'done' ? { kind: 'written', version: '' } : notWritten(outcome)
  }

  override async list (prefix: string): Promise<client.StoredObject[]> {
    const { kind, name } = objectName(prefix)
    const { objects } = required(await this.#store.list(kind))
    const kindPart = prefix.split('/')[0]
    return objects.filter((object) => object.name.startsWith(name)).map((object) => storedObject(`${kindPart}/${object.name.replaceAll('.', '/')}`, object))
  }

  override async watch (key: string, knownVersion: string | undefined, waitMs: number): Promise<client.StoredObject | undefined> {
    const { kind, name } = objectName(key)
    const end = performance.now() + waitMs
    let revision = knownVersion === undefined ? await this.#presentRevision(kind) : Number(knownVersion)
    for (;;) {
      const leftMs = end - performance.now()
      const present = await this.read(key)
      if (present?.version !== knownVersion || leftMs <= 0) return present
      const outcome = await this.#store.watch(kind, revision, leftMs)
      if (outcome.status === 'history-gone') {
        revision = await this.#presentRevision(kind)
        continue
      }
      const changes = required(outcome)
      revision = changes.revision
      const change = changes.events.filter((event) => event.object.name === name).at(-1)
      if (change !== undefined) return change.removed ? undefined : storedObject(key, change.object)
    }
  }

  override async hosts (): Promise<client.HostList> {
    const [hosts, targets] = await Promise.all([this.#listed(LISTED_HOSTS_KIND), this.#listed(LISTED_TARGETS_KIND)])
    return {
      hosts: hosts.map(({ name, leaving }) => ({ host: name, leaving })),
      targets: targets.map(({ name, leaving }) => ({ target: name, leaving }))
    }
  }

  /** The store's revision; an object that is read afterwards shows all changes up to it. */
  async #presentRevision (kind: string): Promise<number> {
    return required(await this.#store.list(kind)).revision
  }

  async #listed (kind: string): Promise<Array<{ name: string, leaving: boolean }>> {
    const { objects } = required(await this.#store.list(kind))
    return objects.map((object) => ({ name: object.name, leaving: (object.value as { leaving?: unknown } | null)?.leaving === true }))
  }
}

function objectName (key: string): ObjectName {
  const [kind, ...name] = key.split('/')
  return { kind: KIND_PREFIX + kind, name: name.join('.') }
}

function storedObject (key: string, object: stores.StoreObject): client.StoredObject {
  return { key, version: String(object.revision), value: object.value }
}

function required<Result> (outcome: stores.StoreOutcome<Result>): Result {
  if (outcome.status === 'done') return outcome.result
  throw new client.PlatformUnavailable(outcome.step, outcome.reason)
}

/** A write that the store turned away has not taken effect. Callers read and try again, as after a lost answer. */
function notWritten (failure: stores.StoreFailure): client.WriteResult {
  if (failure.status === 'conflict' || failure.status === 'missing') return { kind: 'conflict' }
  return { kind: 'unknown', reason: failure.reason }
}

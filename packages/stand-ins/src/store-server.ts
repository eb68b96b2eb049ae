import * as runtime from '@acaciaweir/runtime'
import type * as http from 'node:http'
import * as timers from 'node:timers/promises'
import * as storeFaults from './store-faults.js'

/** Faults that affect every call to the store. */
export const StoreFault = {
  none: 'none',
  /** Answers every call with 503. */
  busy: 'busy',
  /** Resets every connection. */
  reset: 'reset',
  /** Accepts calls and never answers them. */
  silent: 'silent',
  /** Applies writes and resets the connection instead of answering. */
  loseAnswers: 'lose-answers'
} as const
export type StoreFault = typeof StoreFault[keyof typeof StoreFault]

interface StoredObject {
  Metadata: { Name: string, Revision: number, CreateRev: number, Finalizers: string[], Deleting: boolean }
  Spec: unknown
  Status: unknown
}

interface StoreEvent {
  kind: string
  revision: number
  removed: boolean
  object: StoredObject
}

/** Maximum number of objects on one page of a list. */
const PAGE_SIZE = 500

/** Object kinds that hold the host list and the target list. */
const LISTED_KINDS = { hosts: 'listed-hosts', targets: 'listed-targets' } as const

/** Header that tells how often the store has come back from a backup. */
const EPOCH_HEADER = 'store-era'

/** What a store comes back to. */
interface StoreBackup {
  objectsByKind: Map<string, Map<string, StoredObject>>
  events: StoreEvent[]
  revision: number
}

/** Seed of the random choice of lost answers. */
const LOST_ANSWER_SEED = 1

/**
 * A stand-in for the platform's store with its published protocol: versioned objects by kind and name, paged lists, and long-poll
 * watches. `/admin` sets faults, for a store that runs in a separate process.
 */
export class StoreServer {
  readonly #objectsByKind = new Map<string, Map<string, StoredObject>>()
  readonly #server = new runtime.httpServer.HttpServer(async (message, response) => { await this.#handle(message, response) })
  readonly #waitingWatches = new Set<() => void>()
  #events: StoreEvent[] = []
  #revision = 1
  #oldestRevision = 1
  #epoch = 1
  fault: StoreFault = StoreFault.none
  readonly faultInjector = new storeFaults.StoreFaultInjector(LOST_ANSWER_SEED)
  /** Calls received, by kind; a watch counts once, however long it waits. */
  readonly counts = { read: 0, write: 0, list: 0, watch: 0 }

  /** Listens on a free loopback port and returns the address. */
  async listen (): Promise<string> {
    return `127.0.0.1:${await this.listenOn(0, '127.0.0.1')}`
  }

  /** Listens on an address and returns the port; port 0 selects a free one. */
  async listenOn (port: number, address: string): Promise<number> {
    return await this.#server.listen(port, address)
  }

  get callCount (): number {
    const { read, write, list, watch } = this.counts
    return read + write + list + watch
  }

  close (): void {
    this.#server.closeNow()
  }

  /** Creates or replaces an object, as the operators or the targets do. Ignores faults. */
  putObject (kind: string, name: string, spec: unknown): void {
    this.#upsert(kind, name, spec, undefined)
  }

  /** Removes an object, as the platform does. Ignores faults. */
  removeObject (kind: string, name: string): void {
    const object = this.#objectsOf(kind).get(name)
    if (object === undefined) return
    this.#objectsOf(kind).delete(name)
    this.#appendEvent(kind, object, true)
  }

  /** Returns the spec of an object; undefined if there is none. */
  readSpec (kind: string, name: string): unknown {
    return this.#objectsOf(kind).get(name)?.Spec
  }

  /** Drops the event history, so that watches from an older revision get 410 and the client has to list again. */
  dropHistory (): void {
    this.#events = []
    this.#oldestRevision = this.#revision
    this.#wakeWatches()
  }

  /** Copies all objects, as of now. */
  backUp (): StoreBackup {
    const objectsByKind = new Map([...this.#objectsByKind].map(([kind, objects]) => [kind, new Map(objects)]))
    return { objectsByKind, events: [...this.#events], revision: this.#revision }
  }

  /** Goes back to a backup: what was written since is gone, and its revisions are given out again. Answers of before don't arrive. */
  restore (backup: StoreBackup): void {
    this.#objectsByKind.clear()
    for (const [kind, objects] of backup.objectsByKind) this.#objectsByKind.set(kind, new Map(objects))
    this.#events = [...backup.events]
    this.#revision = backup.revision
    this.#epoch += 1
    this.#wakeWatches()
  }

  /** Makes waiting watches check for events and the fault again; call it when a fault ends. */
  wakeWatches (): void {
    this.#wakeWatches()
  }

  async #handle (message: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const body = await runtime.httpCall.readBody(message)
    const url = new URL(message.url ?? '/', 'http://store')
    const [, root, kind, name] = url.pathname.split('/').map(decodeURIComponent)
    if (root === 'admin') { runtime.httpServer.sendJson(response, 200, this.#handleAdmin(kind, body)); return }
    this.counts[callKind(message, url, name)] += 1
    const { delayMs } = this.faultInjector.faults
    if (delayMs > 0) await timers.setTimeout(delayMs)
    if (this.fault === StoreFault.silent) return
    if (this.fault === StoreFault.reset) { message.socket.resetAndDestroy(); return }
    if (this.fault === StoreFault.busy) { this.#send(response, 503, {}); return }
    if (root !== 'objects' || kind === undefined) { this.#send(response, 404, {}); return }
    if (message.method === 'GET') { await this.#get(url, kind, name, response); return }
    const [status, answer] = this.#write(message.method ?? '', kind, name, body, url)
    if (this.fault === StoreFault.loseAnswers || this.faultInjector.shouldLoseAnswer()) { message.socket.resetAndDestroy(); return }
    this.#send(response, status, answer)
  }

  #handleAdmin (command: string, body: string): object {
    if (command === 'faults') {
      const { down, ...faults } = JSON.parse(body) as Partial<storeFaults.StoreFaults> & { down?: boolean }
      Object.assign(this.faultInjector.faults, faults)
      if (down !== undefined) this.fault = down ? StoreFault.reset : StoreFault.none
    }
    if (command === 'listed') {
      const { kind, name, leaving } = JSON.parse(body) as { kind: keyof typeof LISTED_KINDS, name: string, leaving: boolean }
      setTimeout(() => { this.putObject(LISTED_KINDS[kind], name, { leaving }) }, this.faultInjector.faults.hostListLagMs)
    }
    return { counts: this.counts }
  }

  async #get (url: URL, kind: string, name: string | undefined, response: http.ServerResponse): Promise<void> {
    if (name !== undefined) {
      const object = this.#objectsOf(kind).get(name)
      this.#send(response, object === undefined ? 404 : 200, object ?? {})
      return
    }
    const watch = url.searchParams.get('Watch')
    if (watch === null) this.#list(url, kind, response)
    else await this.#watch(kind, Number(watch), Number(url.searchParams.get('WaitMs') ?? 0), response)
  }

  #list (url: URL, kind: string, response: http.ServerResponse): void {
    const after = url.searchParams.get('AfterRevision') ?? ''
    const objects = [...this.#objectsOf(kind).values()].filter((object) => object.Metadata.Name > after)
    objects.sort((left, right) => left.Metadata.Name < right.Metadata.Name ? -1 : 1)
    this.#send(response, 200, { Items: objects.slice(0, PAGE_SIZE), Truncated: objects.length > PAGE_SIZE, CurrentRev: this.#revision })
  }

  async #watch (kind: string, revision: number, waitMs: number, response: http.ServerResponse): Promise<void> {
    const end = Date.now() + waitMs
    for (;;) {
      if (revision < this.#oldestRevision || revision > this.#revision) { this.#send(response, 410, {}); return }
      const events = this.#events.filter((event) => event.kind === kind && event.revision > revision)
      const remainingMs = end - Date.now()
      if (events.length > 0 || remainingMs <= 0) {
        this.#send(response, 200, { events: events.map((event) => ({ Object: event.object, Removed: event.removed })), CurrentRev: this.#revision })
        return
      }
      await this.#waitForChange(remainingMs)
      if (this.fault === StoreFault.silent) return
      if (this.fault === StoreFault.reset) { response.socket?.destroy(); return }
    }
  }

  #waitForChange (waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const finish = (): void => {
        clearTimeout(timer)
        this.#waitingWatches.delete(finish)
        resolve()
      }
      const timer = setTimeout(finish, waitMs)
      this.#waitingWatches.add(finish)
    })
  }

  #write (method: string, kind: string, name: string | undefined, body: string, url: URL): [number, object] {
    const parsed = body === '' ? {} : JSON.parse(body) as { Metadata?: { Name?: string, Revision?: number }, Spec?: unknown }
    const objectName = name ?? parsed.Metadata?.Name ?? ''
    const existing = this.#objectsOf(kind).get(objectName)
    const expectedRevision = parsed.Metadata?.Revision ?? (url.searchParams.has('Revision') ? Number(url.searchParams.get('Revision')) : undefined)
    if (method === 'POST' && existing !== undefined) return [409, existing]
    if (method !== 'POST' && existing === undefined) return [404, {}]
    if (expectedRevision !== undefined && existing !== undefined && expectedRevision !== existing.Metadata.Revision) return [409, existing]
    if (method === 'DELETE') {
      this.removeObject(kind, objectName)
      return [200, {}]
    }
    return [200, this.#upsert(kind, objectName, parsed.Spec, existing)]
  }

  #upsert (kind: string, name: string, spec: unknown, existing: StoredObject | undefined): StoredObject {
    const previous = existing ?? this.#objectsOf(kind).get(name)
    if (previous !== undefined && JSON.stringify(previous.Spec) === JSON.stringify(spec)) return previous
    this.#revision += 1
    const object: StoredObject = {
      Metadata: { Name: name, Revision: this.#revision, CreateRev: previous?.Metadata.CreateRev ?? this.#revision, Finalizers: [], Deleting: false },
      Spec: spec,
      Status: null
    }
    this.#objectsOf(kind).set(name, object)
    this.#appendEvent(kind, object, false)
    return object
  }

  #appendEvent (kind: string, object: StoredObject, removed: boolean): void {
    if (removed) this.#revision += 1
    this.#events.push({ kind, revision: this.#revision, removed, object })
    this.#wakeWatches()
  }

  #wakeWatches (): void {
    if (this.faultInjector.faults.watchGap) return
    for (const wake of [...this.#waitingWatches]) wake()
  }

  #send (response: http.ServerResponse, status: number, body: object): void {
    runtime.httpServer.sendJson(response, status, body, { [EPOCH_HEADER]: String(this.#epoch) })
  }

  #objectsOf (kind: string): Map<string, StoredObject> {
    let objects = this.#objectsByKind.get(kind)
    if (objects === undefined) {
      objects = new Map()
      this.#objectsByKind.set(kind, objects)
    }
    return objects
  }
}

function callKind (message: http.IncomingMessage, url: URL, name: string | undefined): 'read' | 'write' | 'list' | 'watch' {
  if (message.method !== 'GET') return 'write'
  if (name !== undefined) return 'read'
  return url.searchParams.has('Watch') ? 'watch' : 'list'
}

import * as runtime from '@acaciaweir/runtime'
import type * as http from 'node:http'
import type * as net from 'node:net'
import * as timers from 'node:timers/promises'
import * as storeFaults from './store-faults.js'

/** How the store misbehaves. */
export const StoreFault = {
  none: 'none',
  /** Turns every call away with 503. */
  busy: 'busy',
  /** Resets every connection. */
  reset: 'reset',
  /** Takes calls and never answers. */
  silent: 'silent',
  /** Does writes and resets the connection in place of the answer. */
  loseAnswers: 'lose-answers'
} as const
export type StoreFault = typeof StoreFault[keyof typeof StoreFault]

interface Stored {
  Metadata: { Name: string, Revision: number, CreateRev: number, Finalizers: string[], Deleting: boolean }
  Spec: unknown
  Status: unknown
}

interface StoreEvent {
  kind: string
  revision: number
  removed: boolean
  object: Stored
}

/** Objects on one page of a list. */
const PAGE_SIZE = 500

/** Where the list of hosts and targets stands. */
const LISTED_KINDS = { hosts: 'listed-hosts', targets: 'listed-targets' } as const

/** Seed of the answers that are lost by chance. */
const LOST_ANSWERS_SEED = 1

/** Stand-in of the platform's store, by its published protocol. As a process of its own it takes faults on /admin. */
export class PublishedStore {
  readonly #kinds = new Map<string, Map<string, Stored>>()
  readonly #server = new runtime.httpServer.HttpServer(async (message, response) => { await this.#answer(message, response) })
  readonly #waiting = new Set<() => void>()
  #events: StoreEvent[] = []
  #revision = 1
  #oldestRevision = 1
  fault: StoreFault = StoreFault.none
  readonly faultSwitch = new storeFaults.StoreFaultSwitch(LOST_ANSWERS_SEED)
  /** Calls taken by kind, each watch as one. */
  readonly counts = { read: 0, write: 0, list: 0, watch: 0 }

  /** Listens on a free loopback port and returns the address. */
  async listen (): Promise<string> {
    return `127.0.0.1:${await this.listenAt(0, '127.0.0.1')}`
  }

  async listenAt (port: number, address: string): Promise<number> {
    return await this.#server.listen(port, address)
  }

  get calls (): number {
    const { read, write, list, watch } = this.counts
    return read + write + list + watch
  }

  close (): void {
    this.#server.closeNow()
  }

  /** Writes an object as the operators or the targets do, whatever the fault. */
  put (kind: string, name: string, spec: unknown): void {
    this.#store(kind, name, spec, undefined)
  }

  /** Removes an object as the platform does. */
  removeObject (kind: string, name: string): void {
    const object = this.#kind(kind).get(name)
    if (object === undefined) return
    this.#kind(kind).delete(name)
    this.#note(kind, object, true)
  }

  read (kind: string, name: string): unknown {
    return this.#kind(kind).get(name)?.Spec
  }

  /** Forgets the history, so that watches have to start anew. */
  dropHistory (): void {
    this.#events = []
    this.#oldestRevision = this.#revision
    this.#wake()
  }

  /** Cuts waiting watches, as the end of a fault does. */
  wake (): void {
    this.#wake()
  }

  async #answer (message: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const body = await runtime.httpCall.readBody(message)
    const url = new URL(message.url ?? '/', 'http://store')
    const [, root, kind, name] = url.pathname.split('/').map(decodeURIComponent)
    if (root === 'admin') { send(response, 200, this.#administer(kind, body)); return }
    this.counts[callKind(message, url, name)] += 1
    const { delayMs } = this.faultSwitch.faults
    if (delayMs > 0) await timers.setTimeout(delayMs)
    if (this.fault === StoreFault.silent) return
    if (this.fault === StoreFault.reset) { message.socket.resetAndDestroy(); return }
    if (this.fault === StoreFault.busy) { send(response, 503, {}); return }
    if (root !== 'objects' || kind === undefined) { send(response, 404, {}); return }
    if (message.method === 'GET') { await this.#get(url, kind, name, response); return }
    const [status, answer] = this.#write(message.method ?? '', kind, name, body, url)
    if (this.fault === StoreFault.loseAnswers || this.faultSwitch.losesAnswer()) { message.socket.resetAndDestroy(); return }
    send(response, status, answer)
  }

  #administer (command: string, body: string): object {
    if (command === 'faults') {
      const { down, ...faults } = JSON.parse(body) as Partial<storeFaults.StoreFaults> & { down?: boolean }
      Object.assign(this.faultSwitch.faults, faults)
      if (down !== undefined) this.fault = down ? StoreFault.reset : StoreFault.none
    }
    if (command === 'listed') {
      const { kind, name, leaving } = JSON.parse(body) as { kind: keyof typeof LISTED_KINDS, name: string, leaving: boolean }
      setTimeout(() => { this.put(LISTED_KINDS[kind], name, { leaving }) }, this.faultSwitch.faults.hostListLagMs)
    }
    return { counts: this.counts }
  }

  async #get (url: URL, kind: string, name: string | undefined, response: http.ServerResponse): Promise<void> {
    if (name !== undefined) {
      const object = this.#kind(kind).get(name)
      send(response, object === undefined ? 404 : 200, object ?? {})
      return
    }
    const watch = url.searchParams.get('Watch')
    if (watch === null) this.#list(url, kind, response)
    else await this.#watch(kind, Number(watch), Number(url.searchParams.get('WaitMs') ?? 0), response)
  }

  #list (url: URL, kind: string, response: http.ServerResponse): void {
    const after = url.searchParams.get('AfterRevision') ?? ''
    const objects = [...this.#kind(kind).values()].filter((object) => object.Metadata.Name > after)
    objects.sort((left, right) => left.Metadata.Name < right.Metadata.Name ? -1 : 1)
    send(response, 200, { Items: objects.slice(0, PAGE_SIZE), Truncated: objects.length > PAGE_SIZE, CurrentRev: this.#revision })
  }

  async #watch (kind: string, revision: number, waitMs: number, response: http.ServerResponse): Promise<void> {
    const end = Date.now() + waitMs
    for (;;) {
      if (revision < this.#oldestRevision) { send(response, 410, {}); return }
      const events = this.#events.filter((event) => event.kind === kind && event.revision > revision)
      const left = end - Date.now()
      if (events.length > 0 || left <= 0) {
        send(response, 200, { events: events.map((event) => ({ Object: event.object, Removed: event.removed })), CurrentRev: this.#revision })
        return
      }
      await this.#changeOr(left)
      if (this.fault === StoreFault.silent) return
      if (this.fault === StoreFault.reset) { response.socket?.destroy(); return }
    }
  }

  #changeOr (waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const done = (): void => {
        clearTimeout(timer)
        this.#waiting.delete(done)
        resolve()
      }
      const timer = setTimeout(done, waitMs)
      this.#waiting.add(done)
    })
  }

  #write (method: string, kind: string, name: string | undefined, body: string, url: URL): [number, object] {
    const parsed = body === '' ? {} : JSON.parse(body) as { Metadata?: { Name?: string, Revision?: number }, Spec?: unknown }
    const objectName = name ?? parsed.Metadata?.Name ?? ''
    const present = this.#kind(kind).get(objectName)
    const expected = parsed.Metadata?.Revision ?? (url.searchParams.has('Revision') ? Number(url.searchParams.get('Revision')) : undefined)
    if (method === 'POST' && present !== undefined) return [409, present]
    if (method !== 'POST' && present === undefined) return [404, {}]
    if (expected !== undefined && present !== undefined && expected !== present.Metadata.Revision) return [409, present]
    if (method === 'DELETE') {
      this.removeObject(kind, objectName)
      return [200, {}]
    }
    return [200, this.#store(kind, objectName, parsed.Spec, present)]
  }

  #store (kind: string, name: string, spec: unknown, present: Stored | undefined): Stored {
    const old = present ?? this.#kind(kind).get(name)
    if (old !== undefined && JSON.stringify(old.Spec) === JSON.stringify(spec)) return old
    this.#revision += 1
    const object: Stored = {
      Metadata: { Name: name, Revision: this.#revision, CreateRev: old?.Metadata.CreateRev ?? this.#revision, Finalizers: [], Deleting: false },
      Spec: spec,
      Status: null
    }
    this.#kind(kind).set(name, object)
    this.#note(kind, object, false)
    return object
  }

  #note (kind: string, object: Stored, removed: boolean): void {
    if (removed) this.#revision += 1
    this.#events.push({ kind, revision: this.#revision, removed, object })
    this.#wake()
  }

  #wake (): void {
    if (this.faultSwitch.faults.watchGap) return
    for (const wake of [...this.#waiting]) wake()
  }

  #kind (kind: string): Map<string, Stored> {
    let objects = this.#kinds.get(kind)
    if (objects === undefined) {
      objects = new Map()
      this.#kinds.set(kind, objects)
    }
    return objects
  }
}

function send (response: http.ServerResponse & { socket: net.Socket | null }, status: number, body: object): void {
  runtime.httpServer.sendJson(response, status, body)
}

function callKind (message: http.IncomingMessage, url: URL, name: string | undefined): 'read' | 'write' | 'list' | 'watch' {
  if (message.method !== 'GET') return 'write'
  if (name !== undefined) return 'read'
  return url.searchParams.has('Watch') ? 'watch' : 'list'
}

import * as runtime from '@acaciaweir/runtime'
import type * as http from 'node:http'
import * as timers from 'node:timers/promises'
import * as store from './object-store.js'

/** Largest value of one object, in bytes. */
const VALUE_LIMIT_BYTES = 1024 * 1024

interface ListEntry {
  leaving: boolean
  changedAt: number
  wasLeaving: boolean | undefined
}

/** The stand-in of the platform's object API and host list. */
export class PlatformServer {
  readonly store: store.ObjectStore
  readonly #server = new runtime.httpServer.HttpServer((request, response) => this.#handle(request, response))
  readonly #hosts = new Map<string, ListEntry>()
  readonly #targets = new Map<string, ListEntry>()
  readonly counts = { read: 0, write: 0, watch: 0, list: 0, hosts: 0 }

  constructor (seed: number) {
    this.store = new store.ObjectStore(seed)
  }

  listen (port: number, address: string): Promise<number> {
    return this.#server.listen(port, address)
  }

  close (): void {
    this.#server.closeNow()
  }

  /** Sets a host's or target's entry in the list; readers see it after the lag. */
  setListed (kind: 'hosts' | 'targets', name: string, leaving: boolean): void {
    const entries = kind === 'hosts' ? this.#hosts : this.#targets
    entries.set(name, { leaving, changedAt: performance.now(), wasLeaving: entries.get(name)?.leaving })
  }

  async #handle (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://platform')
    if (url.pathname.startsWith('/admin/')) { await this.#admin(url, request, response); return }
    const body = await runtime.httpCall.readBody(request, VALUE_LIMIT_BYTES)
    if (this.store.faults.delayMs > 0) await timers.setTimeout(this.store.faults.delayMs)
    if (this.store.faults.down) { response.destroy(); return }
    if (url.pathname === '/hosts') { this.#answerHosts(response); return }
    if (url.pathname === '/objects') { this.#answerList(url, response); return }
    const key = url.pathname.replace('/objects/', '').split('/').map(decodeURIComponent).join('/')
    if (request.method === 'GET') { await this.#answerRead(key, url, response); return }
    this.#answerChange(key, request, body, response)
  }

  #answerHosts (response: http.ServerResponse): void {
    this.counts.hosts += 1
    runtime.httpServer.sendJson(response, 200, {
      hosts: this.#visible(this.#hosts).map(([host, leaving]) => ({ host, leaving })),
      targets: this.#visible(this.#targets).map(([target, leaving]) => ({ target, leaving }))
    })
  }

  #visible (entries: Map<string, ListEntry>): Array<[string, boolean]> {
    const seen: Array<[string, boolean]> = []
    for (const [name, entry] of entries) {
      const fresh = performance.now() - entry.changedAt < this.store.faults.hostListLagMs
      const leaving = fresh ? entry.wasLeaving : entry.leaving
      if (leaving !== undefined) seen.push([name, leaving])
    }
    return seen
  }

  #answerList (url: URL, response: http.ServerResponse): void {
    this.counts.list += 1
    runtime.httpServer.sendJson(response, 200, { objects: this.store.list(url.searchParams.get('prefix') ?? '') })
  }

  async #answerRead (key: string, url: URL, response: http.ServerResponse): Promise<void> {
    const waitMs = Number(url.searchParams.get('wait') ?? 0)
    if (waitMs > 0) {
      this.counts.watch += 1
      await this.store.changed(key, url.searchParams.get('known') ?? '', waitMs)
      if (this.store.faults.down) { response.destroy(); return }
    } else {
      this.counts.read += 1
    }
    const found = this.store.read(key)
    runtime.httpServer.sendJson(response, found === undefined ? 404 : 200, found ?? {})
  }

  #answerChange (key: string, request: http.IncomingMessage, body: string, response: http.ServerResponse): void {
    this.counts.write += 1
    const expected = request.headers['if-match']
    const outcome = request.method === 'DELETE'
      ? this.store.remove(key, expected)
      : this.store.write(key, JSON.parse(body), expected)
    if (this.store.losesAnswer()) { response.destroy(); return }
    runtime.httpServer.sendJson(response, outcome.kind === 'written' ? 200 : 412, outcome)
  }

  async #admin (url: URL, request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const text = await runtime.httpCall.readBody(request)
    if (url.pathname === '/admin/faults') Object.assign(this.store.faults, JSON.parse(text))
    if (url.pathname === '/admin/listed') {
      const entry = JSON.parse(text) as { kind: 'hosts' | 'targets', name: string, leaving: boolean }
      this.setListed(entry.kind, entry.name, entry.leaving)
    }
    runtime.httpServer.sendJson(response, 200, { counts: this.counts, faults: this.store.faults })
  }
}

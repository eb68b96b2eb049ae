import * as runtime from '@acaciaweir/runtime'
import type * as http from 'node:http'
import * as answer from './engine-answer.js'

/** Speed and size of the stand-in engine. */
export interface EngineOptions {
  slots: number
  firstTokenMs: number
  tokenIntervalMs: number
  /** How far load reports lag behind, in milliseconds. */
  loadLagMs: number
  /** Time for which ended streams can be resumed, in milliseconds. */
  retentionMs: number
}

/** Usual options of the stand-in engine. */
export const defaultEngineOptions: EngineOptions = { slots: 32, firstTokenMs: 20, tokenIntervalMs: 5, loadLagMs: 500, retentionMs: 60_000 }

/** Interval of heartbeats on open streams, in milliseconds. */
const HEARTBEAT_MS = 500

/** What the engine served for one request; the replay judges by it. */
export interface ServedRequest {
  requestId: string
  /** The `user` field of the request, by which the judge finds account, budget and key. */
  tag: string
  promptTokens: number
  completionTokens: number
  startedAt: number
  /** The whole answer was made. */
  finished: boolean
  /** True where the prompt's beginning was in the cache, so that the first token came sooner. */
  prefixReused: boolean
}

interface RequestBody {
  model: string
  user?: string
  max_tokens: number
  messages: Array<{ role: string, content: string }>
}

interface EngineStream {
  requestId: string
  incarnation: string
  body: RequestBody
  priority: number
  length: number
  produced: number
  served: ServedRequest | undefined
  ended: boolean
  readers: Set<Reader>
}

interface Reader {
  response: http.ServerResponse
  next: number
}

/** Characters of a prompt that the prefix cache goes by. */
const PREFIX_CHARACTERS = 256

/** Beginnings that the prefix cache holds. */
const PREFIX_CACHE_SIZE = 6

/** Share of the time to the first token that is left where the beginning is cached. */
const REUSED_PREFILL_SHARE = 0.3

/** The stand-in of a model engine: slots, priorities, resume, cancel, lagging load. */
export class EngineServer {
  readonly served: ServedRequest[] = []
  readonly options: EngineOptions
  readonly #server = new runtime.httpServer.HttpServer((request, response) => this.#handle(request, response))
  readonly #streams = new Map<string, EngineStream>()
  readonly #queue: EngineStream[] = []
  /** Requests that were cancelled before they came; they are refused when they do. */
  readonly #cancelledEarly = new Set<string>()
  readonly #loadHistory: Array<{ at: number, running: number, waiting: number }> = []
  /** Cached beginnings of prompts, the one used last at the end. */
  readonly #prefixes = new Set<string>()
  readonly #startedAt = performance.now()
  #running = 0
  leaving = false
  #heartbeat: NodeJS.Timeout | undefined

  constructor (options: Partial<EngineOptions> = {}) {
    this.options = { ...defaultEngineOptions, ...options }
  }

  async listen (port: number, address: string): Promise<number> {
    this.#heartbeat = setInterval(() => { this.#sendHeartbeats() }, HEARTBEAT_MS)
    return await this.#server.listen(port, address)
  }

  close (): void {
    clearInterval(this.#heartbeat)
    this.#server.closeNow()
    for (const stream of this.#streams.values()) stream.ended = true
  }

  async #handle (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://engine')
    const body = await runtime.httpCall.readBody(request)
    if (url.pathname === '/load') { runtime.httpServer.sendJson(response, 200, this.#laggingLoad()); return }
    if (url.pathname === '/admin/served') { runtime.httpServer.sendJson(response, 200, this.served); return }
    if (url.pathname === '/admin/set') {
      const change = JSON.parse(body) as Partial<EngineOptions> & { leaving?: boolean }
      this.leaving = change.leaving ?? this.leaving
      Object.assign(this.options, change)
      runtime.httpServer.sendJson(response, 200, {})
      return
    }
    if (request.method === 'POST') { this.#start(request, JSON.parse(body) as RequestBody, response); return }
    const requestId = decodeURIComponent(url.pathname.replace('/v1/streams/', ''))
    if (request.method === 'DELETE') { this.#cancel(requestId, incarnationOf(request), response); return }
    this.#resume(requestId, Number(url.searchParams.get('offset') ?? 0), incarnationOf(request), response)
  }

  #start (request: http.IncomingMessage, body: RequestBody, response: http.ServerResponse): void {
    const requestId = String(request.headers['x-request-id'])
    if (this.#streams.has(requestId) || this.#cancelledEarly.has(requestId)) { runtime.httpServer.sendJson(response, 409, {}); return }
    const stream: EngineStream = {
      requestId,
      incarnation: incarnationOf(request),
      body,
      priority: Number(request.headers['x-priority'] ?? 0),
      length: answer.answerLength(body.messages, body.max_tokens),
      produced: 0,
      served: undefined,
      ended: false,
      readers: new Set()
    }
    this.#streams.set(requestId, stream)
    this.#attach(stream, 0, response)
    this.#queue.push(stream)
    this.#queue.sort((left, right) => right.priority - left.priority)
    this.#fillSlots()
  }

  #resume (requestId: string, offset: number, incarnation: string, response: http.ServerResponse): void {
    const stream = this.#streams.get(requestId)
    if (stream === undefined || (stream.ended && stream.produced < stream.length)) { runtime.httpServer.sendJson(response, 404, {}); return }
    stream.incarnation = incarnation
    this.#attach(stream, offset, response)
  }

  #cancel (requestId: string, incarnation: string, response: http.ServerResponse): void {
    const stream = this.#streams.get(requestId)
    if (stream === undefined) {
      this.#cancelledEarly.add(requestId)
      runtime.httpServer.sendJson(response, 200, { kind: 'never-ran', rememberedMs: this.#rememberedMs() })
      return
    }
    if (stream.incarnation !== incarnation && stream.readers.size > 0 && !stream.ended) {
      runtime.httpServer.sendJson(response, 200, { kind: 'attached', incarnation: stream.incarnation })
      return
    }
    const finished = stream.ended && stream.produced === stream.length
    this.#end(stream)
    for (const reader of stream.readers) reader.response.destroy()
    if (stream.served === undefined) { runtime.httpServer.sendJson(response, 200, { kind: 'never-ran', rememberedMs: this.#rememberedMs() }); return }
    runtime.httpServer.sendJson(response, 200, { kind: 'ended', finished, incarnation: stream.incarnation, usage: usageOf(stream) })
  }

  /** Time for which requests are remembered: since the start, up to the retention time. */
  #rememberedMs (): number {
    return Math.min(this.options.retentionMs, performance.now() - this.#startedAt)
  }

  #attach (stream: EngineStream, offset: number, response: http.ServerResponse): void {
    response.writeHead(200, { 'content-type': 'text/event-stream' })
    response.flushHeaders()
    const reader = { response, next: offset }
    stream.readers.add(reader)
    response.on('close', () => stream.readers.delete(reader))
    this.#feed(stream, reader)
  }

  #fillSlots (): void {
    while (this.#running < this.options.slots) {
      const stream = this.#queue.shift()
      if (stream === undefined) break
      if (!stream.ended) this.#run(stream)
    }
    this.#noteLoad()
  }

  #run (stream: EngineStream): void {
    this.#running += 1
    const prefixReused = this.#usePrefix(stream.body.messages[0].content.slice(0, PREFIX_CHARACTERS))
    stream.served = {
      requestId: stream.requestId,
      tag: stream.body.user ?? '',
      promptTokens: answer.promptTokens(stream.body.messages),
      completionTokens: 0,
      startedAt: Date.now(),
      finished: false,
      prefixReused
    }
    this.served.push(stream.served)
    setTimeout(() => { this.#produce(stream) }, this.options.firstTokenMs * (prefixReused ? REUSED_PREFILL_SHARE : 1))
  }

  #usePrefix (prefix: string): boolean {
    const reused = this.#prefixes.delete(prefix)
    this.#prefixes.add(prefix)
    if (this.#prefixes.size > PREFIX_CACHE_SIZE) this.#prefixes.delete([...this.#prefixes][0])
    return reused
  }

  #produce (stream: EngineStream): void {
    if (stream.ended) return
    stream.produced += 1
    const finished = stream.produced === stream.length
    if (stream.served !== undefined) Object.assign(stream.served, { completionTokens: stream.produced, finished })
    if (finished) this.#end(stream)
    for (const reader of stream.readers) this.#feed(stream, reader)
    if (!stream.ended) setTimeout(() => { this.#produce(stream) }, this.options.tokenIntervalMs)
  }

  #end (stream: EngineStream): void {
    if (stream.ended) return
    stream.ended = true
    if (stream.served !== undefined) this.#running -= 1
    setTimeout(() => this.#streams.delete(stream.requestId), this.options.retentionMs).unref()
    this.#fillSlots()
  }

  #feed (stream: EngineStream, reader: Reader): void {
    let text = ''
    for (; reader.next < stream.produced; reader.next += 1) text += tokenEvent(stream, reader.next)
    const complete = stream.produced === stream.length
    if (complete) text += lastEvent(stream)
    if (text !== '') reader.response.write(text)
    if (complete || stream.ended) reader.response.end()
  }

  #sendHeartbeats (): void {
    for (const stream of this.#streams.values()) {
      for (const reader of stream.readers) reader.response.write(': heartbeat\n\n')
    }
  }

  #noteLoad (): void {
    const now = performance.now()
    this.#loadHistory.push({ at: now, running: this.#running, waiting: this.#queue.length })
    while (this.#loadHistory.length > 1 && this.#loadHistory[1].at < now - this.options.loadLagMs) this.#loadHistory.shift()
  }

  #laggingLoad (): { running: number, waiting: number, leaving: boolean } {
    this.#noteLoad()
    const oldest = this.#loadHistory[0]
    return { running: oldest.running, waiting: oldest.waiting, leaving: this.leaving }
  }
}

function incarnationOf (request: http.IncomingMessage): string {
  return String(request.headers['x-router-incarnation'] ?? '')
}

function usageOf (stream: EngineStream): { prompt_tokens: number, completion_tokens: number } {
  return { prompt_tokens: stream.served?.promptTokens ?? 0, completion_tokens: stream.produced }
}

function tokenEvent (stream: EngineStream, offset: number): string {
  const choice = { index: 0, delta: { content: answer.answerToken(stream.body.messages, offset) }, finish_reason: null }
  return chunkEvent(stream, offset, { choices: [choice] })
}

function lastEvent (stream: EngineStream): string {
  const usage = usageOf(stream)
  return chunkEvent(stream, stream.length, {
    choices: [{ index: 0, delta: {}, finish_reason: 'stop' }],
    usage: { ...usage, total_tokens: usage.prompt_tokens + usage.completion_tokens }
  })
}

function chunkEvent (stream: EngineStream, offset: number, fields: Record<string, unknown>): string {
  const chunk = { id: stream.requestId, object: 'chat.completion.chunk', created: 0, model: stream.body.model, ...fields }
  return runtime.sse.formatEvent({ id: `${stream.requestId}:${offset}`, data: JSON.stringify(chunk) })
}

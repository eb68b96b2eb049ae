import * as runtime from '@acaciaweir/runtime'
import type * as http from 'node:http'
import * as answer from './engine-answer.js'

/** Capacity and timing of the stand-in engine. */
export interface EngineOptions {
  /** Requests served at once; further ones wait. */
  slots: number
  firstTokenMs: number
  tokenIntervalMs: number
  /** Age of the load that `/load` reports, in milliseconds. */
  loadLagMs: number
  /** Time for which the engine keeps ended streams, so that they can be resumed, in milliseconds. */
  retentionMs: number
  /** Text of a message under which the engine crashes, with its first token; empty if it never does. The last message of a prompt has no effect. */
  crashText: string
}

export const defaultEngineOptions: EngineOptions = { slots: 32, firstTokenMs: 20, tokenIntervalMs: 5, loadLagMs: 500, retentionMs: 60_000, crashText: '' }

/** Interval of SSE comments on open streams. */
const HEARTBEAT_INTERVAL_MS = 500

/** What the engine served for one request. `/admin/served` reports it, and the replay judges the routers by it. */
export interface ServedRequest {
  requestId: string
  /** The `user` field of the request, from which the replay's judge reads account, budget and key. */
  tag: string
  promptTokens: number
  completionTokens: number
  startedAt: number
  /** All tokens of the answer were generated. */
  finished: boolean
  /** The prefix of the prompt was cached, so that the first token came sooner. */
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
  /** Router incarnation that started or last resumed the stream; only this one may cancel it while a reader is attached. */
  incarnation: string
  body: RequestBody
  priority: number
  answerTokens: number
  producedTokens: number
  /** Undefined while the request waits for a slot. */
  served: ServedRequest | undefined
  /** Finished, cancelled, or closed with the engine. */
  hasEnded: boolean
  readers: Set<Reader>
}

/** A response to which a stream is sent. */
interface Reader {
  response: http.ServerResponse
  nextOffset: number
}

/** Length of the prompt prefix that is the key of the prefix cache. */
const CACHED_PREFIX_CHARACTERS = 256

const PREFIX_CACHE_CAPACITY = 6

/** Share of the time to the first token that remains if the prefix is cached. */
const CACHED_PREFILL_SHARE = 0.3

/** A stand-in for a model engine behind a router: slots, priorities, resumable streams, cancellation, delayed load reports. */
export class EngineServer {
  readonly served: ServedRequest[] = []
  readonly options: EngineOptions
  readonly #server = new runtime.httpServer.HttpServer((request, response) => this.#handle(request, response))
  readonly #streams = new Map<string, EngineStream>()
  readonly #queue: EngineStream[] = []
  /** Requests that were cancelled before they arrived; the engine refuses them with 409. */
  readonly #cancelledBeforeArrival = new Set<string>()
  readonly #loadHistory: Array<{ at: number, running: number, waiting: number }> = []
  /** Cached prompt prefixes in LRU order, the least recently used first. */
  readonly #prefixCache = new Set<string>()
  readonly #startedAt = performance.now()
  #running = 0
  leaving = false
  /** Called in place of the first token of a request under which the engine crashes. */
  onCrash: () => void = () => {}
  #heartbeatTimer: NodeJS.Timeout | undefined

  constructor (options: Partial<EngineOptions> = {}) {
    this.options = { ...defaultEngineOptions, ...options }
  }

  async listen (port: number, address: string): Promise<number> {
    this.#heartbeatTimer = setInterval(() => { this.#sendHeartbeats() }, HEARTBEAT_INTERVAL_MS)
    return await this.#server.listen(port, address)
  }

  close (): void {
    clearInterval(this.#heartbeatTimer)
    this.#server.closeNow()
    for (const stream of this.#streams.values()) stream.hasEnded = true
  }

  async #handle (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://engine')
    const body = await runtime.httpCall.readBody(request)
    if (url.pathname === '/load') { runtime.httpServer.sendJson(response, 200, this.#delayedLoad()); return }
    if (url.pathname === '/admin/served') { runtime.httpServer.sendJson(response, 200, this.served); return }
    if (url.pathname === '/admin/set') {
      const change = JSON.parse(body) as Partial<EngineOptions> & { leaving?: boolean }
      this.leaving = change.leaving ?? this.leaving
      Object.assign(this.options, change)
      runtime.httpServer.sendJson(response, 200, {})
      return
    }
    if (request.method === 'POST') { this.#startStream(request, JSON.parse(body) as RequestBody, response); return }
    const requestId = decodeURIComponent(url.pathname.replace('/v1/streams/', ''))
    if (request.method === 'DELETE') { this.#cancelStream(requestId, incarnationOf(request), response); return }
    this.#resumeStream(requestId, Number(url.searchParams.get('offset') ?? 0), incarnationOf(request), response)
  }

  #startStream (request: http.IncomingMessage, body: RequestBody, response: http.ServerResponse): void {
    const requestId = String(request.headers['x-request-id'])
    if (this.#streams.has(requestId) || this.#cancelledBeforeArrival.has(requestId)) { runtime.httpServer.sendJson(response, 409, {}); return }
    const stream: EngineStream = {
      requestId,
      incarnation: incarnationOf(request),
      body,
      priority: Number(request.headers['x-priority'] ?? 0),
      answerTokens: answer.answerLength(body.messages, body.max_tokens),
      producedTokens: 0,
      served: undefined,
      hasEnded: false,
      readers: new Set()
    }
    this.#streams.set(requestId, stream)
    this.#attachReader(stream, 0, response)
    this.#queue.push(stream)
    this.#queue.sort((left, right) => right.priority - left.priority)
    this.#fillSlots()
  }

  #resumeStream (requestId: string, offset: number, incarnation: string, response: http.ServerResponse): void {
    const stream = this.#streams.get(requestId)
    if (stream === undefined || (stream.hasEnded && stream.producedTokens < stream.answerTokens)) { runtime.httpServer.sendJson(response, 404, {}); return }
    stream.incarnation = incarnation
    this.#attachReader(stream, offset, response)
  }

  #cancelStream (requestId: string, incarnation: string, response: http.ServerResponse): void {
    const stream = this.#streams.get(requestId)
    if (stream === undefined) {
      this.#cancelledBeforeArrival.add(requestId)
      runtime.httpServer.sendJson(response, 200, { kind: 'never-ran', rememberedMs: this.#rememberedMs() })
      return
    }
    if (stream.incarnation !== incarnation && stream.readers.size > 0 && !stream.hasEnded) {
      runtime.httpServer.sendJson(response, 200, { kind: 'attached', incarnation: stream.incarnation })
      return
    }
    const finished = stream.hasEnded && stream.producedTokens === stream.answerTokens
    this.#endStream(stream)
    for (const reader of stream.readers) reader.response.destroy()
    if (stream.served === undefined) { runtime.httpServer.sendJson(response, 200, { kind: 'never-ran', rememberedMs: this.#rememberedMs() }); return }
    runtime.httpServer.sendJson(response, 200, { kind: 'ended', finished, incarnation: stream.incarnation, usage: usageOf(stream) })
  }

  /** Returns the time for which the engine remembers requests: since its start, at most the retention time. */
  #rememberedMs (): number {
    return Math.min(this.options.retentionMs, performance.now() - this.#startedAt)
  }

  #attachReader (stream: EngineStream, offset: number, response: http.ServerResponse): void {
    response.writeHead(200, { 'content-type': 'text/event-stream' })
    response.flushHeaders()
    const reader = { response, nextOffset: offset }
    stream.readers.add(reader)
    response.on('close', () => stream.readers.delete(reader))
    this.#sendNewTokens(stream, reader)
  }

  #fillSlots (): void {
    while (this.#running < this.options.slots) {
      const stream = this.#queue.shift()
      if (stream === undefined) break
      if (!stream.hasEnded) this.#runStream(stream)
    }
    this.#recordLoad()
  }

  #runStream (stream: EngineStream): void {
    this.#running += 1
    const prefixReused = this.#touchPrefix(stream.body.messages[0].content.slice(0, CACHED_PREFIX_CHARACTERS))
    stream.served = {
      requestId: stream.requestId,
      tag: stream.body.user ?? '',
      promptTokens: answer.countPromptTokens(stream.body.messages),
      completionTokens: 0,
      startedAt: Date.now(),
      finished: false,
      prefixReused
    }
    this.served.push(stream.served)
    setTimeout(() => { this.#produceToken(stream) }, this.options.firstTokenMs * (prefixReused ? CACHED_PREFILL_SHARE : 1))
  }

  /** Marks a prefix as the most recently used one. Returns true if it was cached. */
  #touchPrefix (prefix: string): boolean {
    const wasCached = this.#prefixCache.delete(prefix)
    this.#prefixCache.add(prefix)
    if (this.#prefixCache.size > PREFIX_CACHE_CAPACITY) this.#prefixCache.delete([...this.#prefixCache][0])
    return wasCached
  }

  #hasCrashText (stream: EngineStream): boolean {
    const { crashText } = this.options
    return crashText !== '' && stream.body.messages.slice(0, -1).some((message) => message.content.includes(crashText))
  }

  #produceToken (stream: EngineStream): void {
    if (stream.hasEnded) return
    if (this.#hasCrashText(stream)) {
      this.onCrash()
      return
    }
    stream.producedTokens += 1
    const finished = stream.producedTokens === stream.answerTokens
    if (stream.served !== undefined) Object.assign(stream.served, { completionTokens: stream.producedTokens, finished })
    if (finished) this.#endStream(stream)
    for (const reader of stream.readers) this.#sendNewTokens(stream, reader)
    if (!stream.hasEnded) setTimeout(() => { this.#produceToken(stream) }, this.options.tokenIntervalMs)
  }

  #endStream (stream: EngineStream): void {
    if (stream.hasEnded) return
    stream.hasEnded = true
    if (stream.served !== undefined) this.#running -= 1
    setTimeout(() => this.#streams.delete(stream.requestId), this.options.retentionMs).unref()
    this.#fillSlots()
  }

  #sendNewTokens (stream: EngineStream, reader: Reader): void {
    let text = ''
    for (; reader.nextOffset < stream.producedTokens; reader.nextOffset += 1) text += tokenEvent(stream, reader.nextOffset)
    const isComplete = stream.producedTokens === stream.answerTokens
    if (isComplete) text += finalEvent(stream)
    if (text !== '') reader.response.write(text)
    if (isComplete || stream.hasEnded) reader.response.end()
  }

  #sendHeartbeats (): void {
    for (const stream of this.#streams.values()) {
      for (const reader of stream.readers) reader.response.write(': heartbeat\n\n')
    }
  }

  #recordLoad (): void {
    const now = performance.now()
    this.#loadHistory.push({ at: now, running: this.#running, waiting: this.#queue.length })
    while (this.#loadHistory.length > 1 && this.#loadHistory[1].at < now - this.options.loadLagMs) this.#loadHistory.shift()
  }

  #delayedLoad (): { running: number, waiting: number, leaving: boolean } {
    this.#recordLoad()
    const oldest = this.#loadHistory[0]
    return { running: oldest.running, waiting: oldest.waiting, leaving: this.leaving }
  }
}

function incarnationOf (request: http.IncomingMessage): string {
  return String(request.headers['x-router-incarnation'] ?? '')
}

function usageOf (stream: EngineStream): { prompt_tokens: number, completion_tokens: number } {
  return { prompt_tokens: stream.served?.promptTokens ?? 0, completion_tokens: stream.producedTokens }
}

function tokenEvent (stream: EngineStream, offset: number): string {
  const choice = { index: 0, delta: { content: answer.answerToken(stream.body.messages, offset) }, finish_reason: null }
  return chunkEvent(stream, offset, { choices: [choice] })
}

function finalEvent (stream: EngineStream): string {
  const usage = usageOf(stream)
  return chunkEvent(stream, stream.answerTokens, {
    choices: [{ index: 0, delta: {}, finish_reason: 'stop' }],
    usage: { ...usage, total_tokens: usage.prompt_tokens + usage.completion_tokens }
  })
}

function chunkEvent (stream: EngineStream, offset: number, fields: Record<string, unknown>): string {
  const chunk = { id: stream.requestId, object: 'chat.completion.chunk', created: 0, model: stream.body.model, ...fields }
  return runtime.sse.formatEvent({ id: `${stream.requestId}:${offset}`, data: JSON.stringify(chunk) })
}

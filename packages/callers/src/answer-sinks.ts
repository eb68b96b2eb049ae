import * as runtime from '@acaciaweir/runtime'
import type * as http from 'node:http'
import * as types from './caller-types.js'
import * as problems from './problem-response.js'

/** Streams the frames of an answer to the caller as server-sent events. */
export class EventStreamSink extends types.AnswerSink {
  readonly #response: http.ServerResponse
  #hasBegun = false
  readonly #firstOffset: number
  #nextOffset: number

  constructor (response: http.ServerResponse, firstOffset: number) {
    super()
    this.#response = response
    this.#firstOffset = firstOffset
    this.#nextOffset = firstOffset
  }

  override get frameCount (): number {
    return this.#nextOffset - this.#firstOffset
  }

  override get hasBegun (): boolean {
    return this.#hasBegun
  }

  override begin (requestId: string, target: string): void {
    if (this.#hasBegun) return
    this.#hasBegun = true
    this.#response.writeHead(200, {
      'content-type': 'text/event-stream',
      'cache-control': 'no-cache',
      ...answerHeaders(requestId, target)
    })
    this.#response.flushHeaders()
  }

  override writeFrame (data: string): void {
    this.#response.write(runtime.sse.formatEvent({ id: String(this.#nextOffset), data }))
    this.#nextOffset += 1
  }

  override end (): void {
    this.#response.end(runtime.sse.formatEvent({ data: '[DONE]' }))
  }

  /** Sends the problem as the last event and destroys the connection without `[DONE]`, so that no caller treats the answer as complete. */
  fail (error: unknown): void {
    const body = problems.problemBody(problems.toProblem(error))
    this.#response.write(runtime.sse.formatEvent({ data: JSON.stringify(body) }), () => { this.#response.destroy() })
  }
}

/** The fields of a chat completion chunk that a buffered answer needs. */
interface CompletionChunk {
  id: string
  model: string
  choices: Array<{ delta: { content?: string }, finish_reason: string | null }>
  usage?: Record<string, number>
}

/** Buffers the frames of an answer and sends them as one JSON chat completion. */
export class BufferedSink extends types.AnswerSink {
  readonly #response: http.ServerResponse
  #requestId = ''
  #target = ''
  #content = ''
  #lastChunk: CompletionChunk | undefined
  #hasBegun = false
  #frameCount = 0

  constructor (response: http.ServerResponse) {
    super()
    this.#response = response
  }

  override get frameCount (): number {
    return this.#frameCount
  }

  override get hasBegun (): boolean {
    return this.#hasBegun
  }

  override begin (requestId: string, target: string): void {
    this.#hasBegun = true
    this.#requestId = requestId
    this.#target = target
  }

  override writeFrame (data: string): void {
    const chunk = JSON.parse(data) as CompletionChunk
    this.#content += chunk.choices[0]?.delta.content ?? ''
    this.#lastChunk = chunk
    this.#frameCount += 1
  }

  override end (): void {
    const choice = {
      index: 0,
      message: { role: 'assistant', content: this.#content },
      finish_reason: this.#lastChunk?.choices[0]?.finish_reason ?? 'stop'
    }
    runtime.httpServer.sendJson(this.#response, 200, {
      id: this.#requestId,
      object: 'chat.completion',
      created: 0,
      model: this.#lastChunk?.model,
      choices: [choice],
      usage: this.#lastChunk?.usage
    }, answerHeaders(this.#requestId, this.#target))
  }
}

function answerHeaders (requestId: string, target: string): Record<string, string> {
  return {
    'acaciaweir-request-id': requestId,
    'acaciaweir-stream': `${target}/${requestId}`,
    'x-request-id': requestId
  }
}

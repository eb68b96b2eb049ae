import * as runtime from '@acaciaweir/runtime'
import type * as http from 'node:http'
import * as types from './caller-types.js'
import * as problems from './problem-response.js'

/** Passes frames on as server-sent events. */
export class StreamSink extends types.AnswerSink {
  readonly #response: http.ServerResponse
  #begun = false
  readonly #firstOffset: number
  #offset: number

  constructor (response: http.ServerResponse, firstOffset: number) {
    super()
    this.#response = response
    this.#firstOffset = firstOffset
    this.#offset = firstOffset
  }

  override get frames (): number {
    return this.#offset - this.#firstOffset
  }

  override get begun (): boolean {
    return this.#begun
  }

  override begin (requestId: string, target: string): void {
    if (this.#begun) return
    this.#begun = true
    this.#response.writeHead(200, {
      'content-type': 'text/event-stream',
      'cache-control': 'no-cache',
      ...answerHeaders(requestId, target)
    })
    this.#response.flushHeaders()
  }

  override frame (data: string): void {
    this.#response.write(runtime.sse.formatEvent({ id: String(this.#offset), data }))
    this.#offset += 1
  }

  override end (): void {
    this.#response.end(runtime.sse.formatEvent({ data: '[DONE]' }))
  }

  /** Ends an answer that cannot be completed, in a way that no caller takes for a whole one. */
  fail (error: unknown): void {
    const body = problems.problemBody(problems.toProblem(error))
    this.#response.write(runtime.sse.formatEvent({ data: JSON.stringify(body) }), () => { this.#response.destroy() })
  }
}

interface Chunk {
  id: string
  model: string
  choices: Array<{ delta: { content?: string }, finish_reason: string | null }>
  usage?: Record<string, number>
}

/** Collects frames into one answer. */
export class WholeSink extends types.AnswerSink {
  readonly #response: http.ServerResponse
  #requestId = ''
  #target = ''
  #text = ''
  #last: Chunk | undefined
  #begun = false
  #frames = 0

  constructor (response: http.ServerResponse) {
    super()
    this.#response = response
  }

  override get frames (): number {
    return this.#frames
  }

  override get begun (): boolean {
    return this.#begun
  }

  override begin (requestId: string, target: string): void {
    this.#begun = true
    this.#requestId = requestId
    this.#target = target
  }

  override frame (data: string): void {
    const chunk = JSON.parse(data) as Chunk
    this.#text += chunk.choices[0]?.delta.content ?? ''
    this.#last = chunk
    this.#frames += 1
  }

  override end (): void {
    const choice = {
      index: 0,
      message: { role: 'assistant', content: this.#text },
      finish_reason: this.#last?.choices[0]?.finish_reason ?? 'stop'
    }
    runtime.httpServer.sendJson(this.#response, 200, {
      id: this.#requestId,
      object: 'chat.completion',
      created: 0,
      model: this.#last?.model,
      choices: [choice],
      usage: this.#last?.usage
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

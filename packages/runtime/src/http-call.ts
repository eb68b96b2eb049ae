import * as http from 'node:http'

/** One outgoing HTTP request. */
export interface HttpCall {
  method: string
  url: string
  headers?: http.OutgoingHttpHeaders
  /** Text is sent as JSON; bytes are sent as they are. */
  body?: string | Buffer
  /** Longest time until the connection stands, in milliseconds; bounded only by the idle timeout where absent. */
  connectTimeoutMs?: number
  /** Longest time without a byte from the other side, in milliseconds. */
  idleTimeoutMs: number
  agent?: http.Agent
  signal?: AbortSignal
}

/** Whether any byte of a failed call may have reached the other side. */
export const CallProgress = { notSent: 'not-sent', sent: 'sent' } as const
export type CallProgress = typeof CallProgress[keyof typeof CallProgress]

/** A call that got no answer, or not the whole. */
export class HttpCallError extends Error {
  readonly progress: CallProgress

  constructor (message: string, progress: CallProgress) {
    super(message)
    this.progress = progress
  }
}

/** A whole answer. */
export interface HttpAnswer {
  status: number
  headers: http.IncomingHttpHeaders
  body: string
}

/** Error codes that prove that no connection came about. */
const NOT_CONNECTED_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL'])

/** Starts a call and returns the response once its headers have come. Throws HttpCallError. */
export function openCall (call: HttpCall): Promise<http.IncomingMessage> {
  return new Promise((resolve, reject) => {
    let connected = false
    let answer: http.IncomingMessage | undefined
    const request = http.request(call.url, {
      method: call.method,
      headers: bodyHeaders(call),
      agent: call.agent,
      signal: call.signal
    })
    request.on('socket', (socket) => {
      if (!socket.connecting) {
        connected = true
        return
      }
      const timer = connectTimer(call, request)
      socket.once('connect', () => {
        connected = true
        clearTimeout(timer)
      })
      socket.once('close', () => { clearTimeout(timer) })
    })
    request.setTimeout(call.idleTimeoutMs, () => request.destroy(new Error('idle timeout')))
    request.on('error', (error: NodeJS.ErrnoException) => {
      const notSent = !connected || NOT_CONNECTED_CODES.has(error.code ?? '')
      reject(new HttpCallError(error.message, notSent ? CallProgress.notSent : CallProgress.sent))
      // An answer without a length ends with its connection. The parser takes a reset for that end, too.
      if (answer !== undefined && !answer.complete) answer.destroy(error)
    })
    request.on('response', (response) => {
      answer = response
      if (endsWithConnection(response)) response.socket.prependOnceListener('end', () => { failWhereReset(response) })
      resolve(response)
    })
    request.end(call.body)
  })
}

/** Makes a call and reads the whole answer. Throws HttpCallError. */
export async function callHttp (call: HttpCall): Promise<HttpAnswer> {
  const response = await openCall(call)
  const body = await readBody(response)
  return { status: response.statusCode ?? 0, headers: response.headers, body }
}

/** Reads a message to its end. Throws HttpCallError where it is cut. */
export async function readBody (message: http.IncomingMessage, limitBytes = Infinity): Promise<string> {
  const chunks: Buffer[] = []
  let size = 0
  try {
    for await (const chunk of message) {
      size += (chunk as Buffer).length
      if (size > limitBytes) throw new Error(`body is larger than ${limitBytes} bytes`)
      chunks.push(chunk as Buffer)
    }
  } catch (error) {
    throw new HttpCallError((error as Error).message, CallProgress.sent)
  }
  return Buffer.concat(chunks).toString('utf8')
}

function endsWithConnection (response: http.IncomingMessage): boolean {
  return response.headers['content-length'] === undefined && response.headers['transfer-encoding'] === undefined
}

/**
 * Where data and a reset arrive together, libuv reports the data and then a proper end. The reset still shows in that the
 * socket has no peer any more.
 */
function failWhereReset (response: http.IncomingMessage): void {
  if (response.socket.remoteAddress === undefined) response.destroy(new Error('connection reset'))
}

function connectTimer (call: HttpCall, request: http.ClientRequest): NodeJS.Timeout | undefined {
  if (call.connectTimeoutMs === undefined) return undefined
  return setTimeout(() => { request.destroy(new Error('connect timeout')) }, call.connectTimeoutMs)
}

function bodyHeaders (call: HttpCall): http.OutgoingHttpHeaders {
  if (typeof call.body !== 'string') return { ...call.headers }
  return {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(call.body),
    ...call.headers
  }
}

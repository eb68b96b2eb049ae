import * as http from 'node:http'
import type * as net from 'node:net'
import * as byteBlocks from './byte-blocks.js'

/** An outgoing HTTP request with its timeouts. */
export interface HttpCall {
  method: string
  url: string
  /** Path and query that are sent byte for byte, in place of those of `url`, which is parsed and thereby normalized. */
  path?: string
  headers?: http.OutgoingHttpHeaders
  /** A string gets the content type `application/json`; bytes are sent without added headers. */
  body?: string | Buffer | byteBlocks.ByteBlocks
  /** Longest time to establish a connection, in milliseconds; if absent, that of the idle timeout. */
  connectTimeoutMs?: number
  /** Longest time without receiving a byte, in milliseconds. */
  idleTimeoutMs: number
  agent?: http.Agent
  signal?: AbortSignal
}

/** Tells whether any byte of a failed call may have reached the server. */
export const CallProgress = { notSent: 'not-sent', sent: 'sent' } as const
export type CallProgress = typeof CallProgress[keyof typeof CallProgress]

/** The server sent nothing for the idle timeout of a call. It may still be at work. */
export class IdleTimeoutError extends Error {
  constructor () {
    super('idle timeout')
  }
}

/** Error of a call that received no answer or an incomplete one. */
export class HttpCallError extends Error {
  readonly progress: CallProgress
  /** The server or the network ended the connection, rather than a timeout or this process. */
  readonly isConnectionLost: boolean

  constructor (message: string, progress: CallProgress, isConnectionLost = false, options?: ErrorOptions) {
    super(message, options)
    this.progress = progress
    this.isConnectionLost = isConnectionLost
  }
}

/** Error codes of a connection that the other end closed or reset. */
const CONNECTION_LOST_CODES = new Set(['ECONNRESET', 'EPIPE'])

/** Returns true if an error of a socket, request or response means that the other end closed or reset the connection. */
export function isConnectionLost (error: unknown): boolean {
  return CONNECTION_LOST_CODES.has((error as NodeJS.ErrnoException).code ?? '')
}

/** A complete HTTP answer. */
export interface HttpAnswer {
  status: number
  headers: http.IncomingHttpHeaders
  body: string
}

/** Error codes that prove that no connection was established. */
const NOT_CONNECTED_ERROR_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL'])

/** Most bytes that a server may send before the head of its final answer has ended, in bytes. Interim answers and blank lines count. */
const MAXIMUM_HEAD_BYTES = 128 * 1024

/** Lowest status of a final answer. */
const LOWEST_FINAL_STATUS = 200

/**
 * Sends a request and resolves with the response once its headers have arrived. An answer 101 counts as none, as no call asks for an
 * upgrade. Throws HttpCallError, at once if the signal aborts the call.
 */
export function openCall (call: HttpCall): Promise<http.IncomingMessage> {
  return new Promise((resolve, reject) => {
    let isConnected = false
    let receivedResponse: http.IncomingMessage | undefined
    const fail = (error: NodeJS.ErrnoException): void => {
      const wasNotSent = !isConnected || NOT_CONNECTED_ERROR_CODES.has(error.code ?? '')
      reject(new HttpCallError(error.message, wasNotSent ? CallProgress.notSent : CallProgress.sent, isConnectionLost(error), { cause: error }))
    }
    const request = createRequest(call)
    // A request that still waits for a connection of its agent reports its end only once it gets one.
    const onAbort = (): void => { fail(new Error('the call was aborted')) }
    call.signal?.addEventListener('abort', onAbort)
    if (call.signal?.aborted === true) onAbort()
    request.on('socket', (socket) => {
      limitHeadBytes(request, socket)
      if (!socket.connecting) {
        isConnected = true
        return
      }
      const timer = startConnectTimer(call, request)
      socket.once('connect', () => {
        isConnected = true
        clearTimeout(timer)
      })
      socket.once('close', () => { clearTimeout(timer) })
    })
    request.setTimeout(call.idleTimeoutMs, () => request.destroy(new IdleTimeoutError()))
    request.on('error', (error: NodeJS.ErrnoException) => {
      fail(error)
      // The end of the connection also ends a close-delimited response. The HTTP parser treats a reset as such an end, too.
      if (receivedResponse !== undefined && !receivedResponse.complete) receivedResponse.destroy(error)
    })
    request.on('upgrade', (response, socket) => {
      fail(new Error(`unusable status ${response.statusCode ?? 0}`))
      socket.destroy()
    })
    request.on('response', (response) => {
      call.signal?.removeEventListener('abort', onAbort)
      if ((response.statusCode ?? 0) < LOWEST_FINAL_STATUS) {
        fail(new Error(`unusable status ${response.statusCode ?? 0}`))
        request.destroy()
        return
      }
      receivedResponse = response
      if (isCloseDelimited(response)) response.socket.prependOnceListener('end', () => { destroyIfReset(response) })
      resolve(response)
    })
    request.on('close', () => {
      call.signal?.removeEventListener('abort', onAbort)
      fail(new Error('the connection was closed without an answer'))
    })
    sendBody(request, call.body)
  })
}

function sendBody (request: http.ClientRequest, body: HttpCall['body']): void {
  if (body instanceof byteBlocks.ByteBlocks) {
    body.endMessage(request)
  } else {
    // Node joins a text body to the head and would write the path in the encoding of the body.
    request.end(typeof body === 'string' ? Buffer.from(body) : body)
  }
}

/** Ends a request whose server sends bytes without end that are no answer. */
function limitHeadBytes (request: http.ClientRequest, socket: net.Socket): void {
  const bytesBefore = socket.bytesRead
  const checkBytes = (): void => {
    if (socket.bytesRead - bytesBefore > MAXIMUM_HEAD_BYTES) request.destroy(new Error('too many bytes before the head of the answer'))
  }
  const stop = (): void => { socket.off('data', checkBytes) }
  socket.on('data', checkBytes)
  request.once('response', stop)
  request.once('close', stop)
}

/** Throws HttpCallError if the request cannot be written as HTTP. */
function createRequest (call: HttpCall): http.ClientRequest {
  try {
    const options: http.RequestOptions = { method: call.method, headers: requestHeaders(call), agent: call.agent, signal: call.signal }
    if (call.path !== undefined) options.path = call.path
    return http.request(call.url, options)
  } catch (error) {
    throw new HttpCallError((error as Error).message, CallProgress.notSent)
  }
}

/** Largest body that `callHttp` reads, in bytes. A server in trouble may send bytes without end. */
const MAXIMUM_ANSWER_BYTES = 16 * 1024 * 1024

/** Sends a request and reads the complete answer. Throws HttpCallError, also if the body is larger than 16 MiB. */
export async function callHttp (call: HttpCall): Promise<HttpAnswer> {
  const response = await openCall(call)
  const body = await readBody(response, MAXIMUM_ANSWER_BYTES)
  return { status: response.statusCode ?? 0, headers: response.headers, body }
}

/** Reads the body of a message as UTF-8. Throws HttpCallError if the message is cut off or its body exceeds `maximumBytes`. */
export async function readBody (message: http.IncomingMessage, maximumBytes = Infinity): Promise<string> {
  const chunks: Buffer[] = []
  let receivedBytes = 0
  try {
    for await (const chunk of message) {
      receivedBytes += (chunk as Buffer).length
      if (receivedBytes > maximumBytes) throw new Error(`body is larger than ${maximumBytes} bytes`)
      chunks.push(chunk as Buffer)
    }
  } catch (error) {
    throw new HttpCallError((error as Error).message, CallProgress.sent, isConnectionLost(error))
  }
  return Buffer.concat(chunks).toString('utf8')
}

/** Returns true if only the end of the connection ends the response body. */
function isCloseDelimited (response: http.IncomingMessage): boolean {
  return response.headers['content-length'] === undefined && response.headers['transfer-encoding'] === undefined
}

/**
 * Destroys a response whose connection was reset. If data and a reset arrive together, libuv reports the data and then
 * an orderly end. The reset can still be detected: the socket has no remote address any more.
 */
function destroyIfReset (response: http.IncomingMessage): void {
  if (response.socket.remoteAddress === undefined) response.destroy(Object.assign(new Error('connection reset'), { code: 'ECONNRESET' }))
}

function startConnectTimer (call: HttpCall, request: http.ClientRequest): NodeJS.Timeout {
  return setTimeout(() => { request.destroy(new Error('connect timeout')) }, call.connectTimeoutMs ?? call.idleTimeoutMs)
}

function requestHeaders (call: HttpCall): http.OutgoingHttpHeaders {
  if (typeof call.body !== 'string') return { ...call.headers }
  return {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(call.body),
    ...call.headers
  }
}

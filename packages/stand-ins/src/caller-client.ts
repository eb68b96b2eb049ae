import * as http from 'node:http'

/** An answer as the caller received it. */
export interface CallerAnswer {
  /** HTTP status; 0 if the request failed without one. */
  status: number
  headers: http.IncomingHttpHeaders
  /** Body of the answer; the error message if the status is 0. */
  body: string
  /** The body ended as its framing states. */
  isWhole: boolean
}

/** What a stand-in caller states in its request headers. */
export interface CallerHeaderValues {
  host: string
  attemptId: string
  apiKey?: string
  /** Remaining time until the caller's deadline, in milliseconds. */
  remainingMs?: number
  /** Prompt tokens and maximum output tokens of a model request; requests of a session share the first half of their prompt. */
  model?: { promptTokens: number, outputTokens: number, session: string }
}

/** Returns the headers of a caller's request in the platform's published protocol. */
export function callerHeaders (values: CallerHeaderValues): Record<string, string> {
  const headers: Record<string, string> = { host: values.host, 'attempt-id': values.attemptId }
  if (values.apiKey !== undefined) headers['api-key'] = values.apiKey
  if (values.remainingMs !== undefined) headers['deadline-remaining-ms'] = String(values.remainingMs)
  if (values.model === undefined) return headers
  const { promptTokens, outputTokens, session } = values.model
  const sharedTokens = Math.floor(promptTokens / 2)
  return {
    ...headers,
    model: 'm',
    'token-counts': `${promptTokens},${outputTokens}`,
    'prompt-prefix': `${session}:${sharedTokens},${Buffer.from(values.attemptId).toString('hex')}:${promptTokens - sharedTokens}`
  }
}

/**
 * Sends one request on a new connection: a POST with a body, a GET without. Closes the connection if the answer is not complete after
 * `patienceMs`. Does not reject: a failed request resolves with status 0, or with `isWhole` false if the answer broke off.
 */
export function send (address: string, path: string, headers: Record<string, string>, body = '', patienceMs = Infinity): Promise<CallerAnswer> {
  return new Promise((resolve) => {
    const method = body === '' ? 'GET' : 'POST'
    const noAnswer: CallerAnswer = { status: 0, headers: {}, body: '', isWhole: false }
    const request = http.request(`http://${address}${path}`, { method, headers, agent: false }, (response) => {
      let text = ''
      const finish = (whole: boolean): void => { resolve({ status: response.statusCode ?? 0, headers: response.headers, body: text, isWhole: whole }) }
      response.setEncoding('utf8')
      response.on('data', (chunk: string) => { text += chunk })
      response.on('end', () => { finish(response.complete) })
      response.on('error', () => { finish(false) })
    })
    request.on('error', (error) => { resolve({ ...noAnswer, body: error.message }) })
    if (patienceMs < Infinity) {
      const timer = setTimeout(() => { request.destroy(new Error('gave up')) }, patienceMs)
      request.on('close', () => { clearTimeout(timer) })
    }
    request.end(body)
  })
}

/** Sends a GET request to a URL, without headers of the protocol. */
export async function get (url: string): Promise<CallerAnswer> {
  const { host, pathname, search } = new URL(url)
  return await send(host, `${pathname}${search}`, {})
}

import * as http from 'node:http'

/** One answer as a caller saw it. */
export interface CallerAnswer {
  /** 0 where no answer came. */
  status: number
  headers: http.IncomingHttpHeaders
  body: string
  /** The answer ended as its framing says. */
  whole: boolean
}

/** What a stand-in caller says of its request. */
export interface CallerFacts {
  host: string
  attemptId: string
  key?: string
  waitsMs?: number
  /** Prompt tokens and most output tokens of a model request, with the session that its prompt belongs to. */
  model?: { promptTokens: number, outputTokens: number, session: string }
}

/** Headers of a caller's request. */
export function callerHeaders (facts: CallerFacts): Record<string, string> {
  const headers: Record<string, string> = { host: facts.host, 'attempt-id': facts.attemptId }
  if (facts.key !== undefined) headers['api-key'] = facts.key
  if (facts.waitsMs !== undefined) headers['deadline-remaining-ms'] = String(facts.waitsMs)
  if (facts.model === undefined) return headers
  const { promptTokens, outputTokens, session } = facts.model
  const shared = Math.floor(promptTokens / 2)
  return {
    ...headers,
    model: 'm',
    'token-counts': `${promptTokens},${outputTokens}`,
    'prompt-prefix': `${session}:${shared},${Buffer.from(facts.attemptId).toString('hex')}:${promptTokens - shared}`
  }
}

/** Sends one request on a connection of its own. */
export function send (address: string, path: string, headers: Record<string, string>, body = ''): Promise<CallerAnswer> {
  return new Promise((resolve) => {
    const method = body === '' ? 'GET' : 'POST'
    const failed: CallerAnswer = { status: 0, headers: {}, body: '', whole: false }
    const request = http.request(`http://${address}${path}`, { method, headers, agent: false }, (response) => {
      let text = ''
      const done = (whole: boolean): void => { resolve({ status: response.statusCode ?? 0, headers: response.headers, body: text, whole }) }
      response.setEncoding('utf8')
      response.on('data', (chunk: string) => { text += chunk })
      response.on('end', () => { done(response.complete) })
      response.on('error', () => { done(false) })
    })
    request.on('error', (error) => { resolve({ ...failed, body: error.message }) })
    request.end(body)
  })
}

/** Reads an address. */
export async function get (url: string): Promise<CallerAnswer> {
  const { host, pathname, search } = new URL(url)
  return await send(host, `${pathname}${search}`, {})
}

import * as http from 'node:http'

/** Answer that a caller received. `status` is 0 if there was none; `isWhole` tells whether the body ended as its framing says. */
const NO_ANSWER = { status: 0, headers: {}, body: '', isWhole: false, hasGivenUp: false }

const LOGGED_BODY_CHARACTERS = 80

/** A caller's request. Sends the path as it is. */
export class CallerRequest {
  #message
  #answer
  #hasGivenUp = false
  #gapTimer

  /**
   * `options`: address, method, path, headers, body, agent (without one, the request has a connection of its own), and patienceMs, the longest gap
   * before a piece of the answer after which the caller gives up.
   */
  constructor (options, record) {
    const [host, port] = options.address.split(':')
    const { method = 'POST', path, headers, body = '', agent = false, patienceMs = Infinity } = options
    this.attemptId = headers['attempt-id']
    record.write('sent', { attempt: this.attemptId, method, path, to: options.address })
    this.#answer = new Promise((resolve) => {
      const finish = (answer) => {
        clearTimeout(this.#gapTimer)
        resolve({ ...NO_ANSWER, ...answer, hasGivenUp: this.#hasGivenUp })
      }
      this.#message = http.request({ host, port, method, path, headers: { ...headers, 'content-length': Buffer.byteLength(body) }, agent }, (response) => {
        let text = ''
        const finishAnswer = (isWhole) => { finish({ status: response.statusCode, headers: response.headers, body: text, isWhole }) }
        response.setEncoding('utf8')
        response.on('data', (chunk) => {
          text += chunk
          this.#watchGap(patienceMs)
        })
        response.on('end', () => { finishAnswer(response.complete) })
        response.on('error', () => { finishAnswer(false) })
      })
      this.#message.on('error', (error) => { finish({ body: error.message }) })
    })
    this.#message.end(body)
    this.#watchGap(patienceMs)
    this.#answer.then(({ status, isWhole, hasGivenUp, body: text }) => {
      record.write('answered', { attempt: this.attemptId, status, isWhole, hasGivenUp, bytes: text.length, start: text.slice(0, LOGGED_BODY_CHARACTERS) })
    })
  }

  answer () {
    return this.#answer
  }

  #watchGap (patienceMs) {
    clearTimeout(this.#gapTimer)
    if (patienceMs === Infinity) return
    this.#gapTimer = setTimeout(() => {
      this.#hasGivenUp = true
      this.#message.destroy()
    }, patienceMs)
  }
}

/** Returns the headers of a caller's request. `model` states prompt and output tokens of a model request. */
export function headers ({ host, attemptId, apiKey, remainingMs, model }) {
  return {
    host,
    'attempt-id': attemptId,
    'api-key': apiKey,
    'deadline-remaining-ms': String(remainingMs),
    ...(model === undefined ? {} : { model: 'm', 'token-counts': `${model.promptTokens},${model.outputTokens}`, 'prompt-prefix': `a1:${model.promptTokens - 1},${Buffer.from(attemptId).toString('hex')}:1` })
  }
}

/** Returns the number of complete events in the body of a stream. */
export function countEvents (body) {
  return (body.match(/^id: \d+\ndata: .*\n\n/gm) ?? []).length
}

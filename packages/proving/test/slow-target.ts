import * as http from 'node:http'

/** How a slow target treats a request. */
export interface SlowBehaviour {
  /** Bytes of the body that it reads at a time; Infinity if it reads at once. */
  readBytes: number
  /** Bytes of the answer: those that it sends at a time, and all of them. */
  pieceBytes: number
  answerBytes: number
  /** Interval between two pieces that are read or sent, in milliseconds. */
  intervalMs: number
  /** Time for which an answer may stay unread before it is cut off, in milliseconds. */
  patienceMs: number
}

/** A target of a plain service that reads and sends slowly, or more than anybody wants. */
export class SlowTarget {
  readonly #behaviour: SlowBehaviour
  readonly #server = http.createServer((message, response) => { this.#serve(message, response) })
  /** Answers that it has cut off because they stayed unread. */
  cutOff = 0

  constructor (behaviour: SlowBehaviour) {
    this.#behaviour = behaviour
    this.#server.on('connection', (socket) => { socket.on('error', () => {}) })
  }

  async listen (): Promise<string> {
    await new Promise<void>((resolve) => { this.#server.listen(0, '127.0.0.1', resolve) })
    const address = this.#server.address()
    return `127.0.0.1:${typeof address === 'object' ? address?.port : ''}`
  }

  close (): void {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  #serve (message: http.IncomingMessage, response: http.ServerResponse): void {
    const { readBytes, intervalMs } = this.#behaviour
    message.on('end', () => { this.#answer(message, response) })
    message.on('error', () => {})
    if (readBytes === Infinity) {
      message.resume()
      return
    }
    const timer = setInterval(() => {
      if (message.destroyed || message.readableEnded) clearInterval(timer)
      else message.read(Math.min(readBytes, message.readableLength))
    }, intervalMs)
    message.on('readable', () => {})
  }

  #answer (message: http.IncomingMessage, response: http.ServerResponse): void {
    const { pieceBytes, answerBytes, intervalMs, patienceMs } = this.#behaviour
    const isEndless = answerBytes === Infinity
    response.writeHead(200, { 'attempt-id': String(message.headers['attempt-id']), 'replica-seal': 'seal', ...(isEndless ? {} : { 'content-length': answerBytes }) })
    let sentBytes = 0
    let readAt = Date.now()
    const send = (): void => {
      if (response.destroyed) return
      if (response.writableLength === 0) readAt = Date.now()
      else if (Date.now() - readAt > patienceMs) {
        this.cutOff += 1
        message.socket.resetAndDestroy()
        return
      }
      const bytes = Math.min(pieceBytes, answerBytes - sentBytes)
      if (response.writableLength === 0 && bytes > 0) {
        response.write(Buffer.alloc(bytes, 'x'))
        sentBytes += bytes
      }
      if (sentBytes >= answerBytes) response.end()
      else setTimeout(send, intervalMs)
    }
    send()
  }
}

import * as http from 'node:http'
import * as waiting from './waiting.mjs'

const MISDIRECTED_REQUEST = 421

/**
 * A stand-in for a model engine that preempts each stream once: after half of its events it pauses, and then goes on. It follows the pages
 * otherwise: it answers only requests meant for it, echoes the attempt id, seals its answers and resumes a stream after a given event.
 */
export class PausingEngine {
  #server = http.createServer((message, response) => { this.#handle(message, response).catch(() => { response.destroy() }) })
  #address = ''
  options
  runs = []
  /** Length of the pause in each stream, in milliseconds. */
  pauseMs = 0

  /** `options`: id, service, events, eventIntervalMs. */
  constructor (options) {
    this.options = options
    this.#server.keepAliveTimeout = 60_000
  }

  async listen () {
    await new Promise((resolve) => { this.#server.listen(0, '127.0.0.1', resolve) })
    this.#address = `127.0.0.1:${this.#server.address().port}`
  }

  registryEntry () {
    return { Service: this.options.service, Address: this.#address, Zone: 'zone-a', Version: 'v1', Slots: 64, State: 'ready', ColdRemainingMs: 0, Sequence: 1 }
  }

  close () {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  async #handle (message, response) {
    message.resume()
    const attemptId = message.headers['attempt-id']
    if (message.headers['expect-replica'] !== this.options.id) {
      response.writeHead(MISDIRECTED_REQUEST, { 'attempt-id': attemptId, 'not-executed': '1' }).end()
      return
    }
    const firstEvent = Number(message.headers['last-event-id'] ?? 0) + 1
    const run = { attemptId, firstEvent, sentEvents: 0, wasCancelled: false }
    this.runs.push(run)
    response.on('close', () => { run.wasCancelled ||= !response.writableFinished })
    response.writeHead(200, { 'attempt-id': attemptId, 'replica-seal': `seal-${this.options.id}`, 'content-type': 'text/event-stream' })
    const { events, eventIntervalMs } = this.options
    for (let id = firstEvent; id <= events; id++) {
      if (response.destroyed) return
      response.write(`id: ${id}\ndata: piece ${id} of ${attemptId}\n\n`)
      run.sentEvents += 1
      await waiting.sleep(eventIntervalMs)
      if (id === events / 2) await waiting.sleep(this.pauseMs)
    }
    response.end()
  }
}

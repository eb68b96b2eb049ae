import * as runtime from '@acaciaweir/runtime'
import * as http from 'node:http'
import * as zod from 'zod'
import * as client from './platform-client.js'

/** Where the platform is and how long to wait for it. */
export interface HttpPlatformOptions {
  address: string
  timeoutMs: number
}

const storedObjectSchema = zod.object({ key: zod.string(), version: zod.string(), value: zod.unknown() })
const listSchema = zod.object({ objects: zod.array(storedObjectSchema) })
const versionSchema = zod.object({ version: zod.string() })
const hostListSchema = zod.object({
  hosts: zod.array(zod.object({ host: zod.string(), leaving: zod.boolean() })),
  targets: zod.array(zod.object({ target: zod.string(), leaving: zod.boolean() }))
})

/** Reaches the platform's object API over HTTP. */
export class HttpPlatformClient extends client.PlatformClient {
  readonly #options: HttpPlatformOptions
  readonly #agent = new http.Agent({ keepAlive: true, maxSockets: 16 })

  constructor (options: HttpPlatformOptions) {
    super()
    this.#options = options
  }

  override async read (key: string): Promise<client.StoredObject | undefined> {
    this.counts.read += 1
    return await this.#get('read', objectPath(key))
  }

  override async watch (key: string, knownVersion: string | undefined, waitMs: number): Promise<client.StoredObject | undefined> {
    this.counts.watch += 1
    const query = new URLSearchParams({ known: knownVersion ?? '', wait: String(waitMs) })
    return await this.#get('watch', `${objectPath(key)}?${query.toString()}`, waitMs)
  }

  override async list (prefix: string): Promise<client.StoredObject[]> {
    this.counts.list += 1
    const answer = await this.#call('list', { method: 'GET', path: `/objects?prefix=${encodeURIComponent(prefix)}` })
    if (answer.status !== 200) throw new client.PlatformUnavailable('list', `status ${answer.status}`)
    return listSchema.parse(JSON.parse(answer.body)).objects
  }

  override async hosts (): Promise<client.HostList> {
    this.counts.hosts += 1
    const answer = await this.#call('hosts', { method: 'GET', path: '/hosts' })
    if (answer.status !== 200) throw new client.PlatformUnavailable('hosts', `status ${answer.status}`)
    return hostListSchema.parse(JSON.parse(answer.body))
  }

  override async write (key: string, value: unknown, expectedVersion: string | undefined): Promise<client.WriteResult> {
    this.counts.write += 1
    const headers = conditionHeaders(expectedVersion)
    return await this.#change({ method: 'PUT', path: objectPath(key), headers, body: JSON.stringify(value) })
  }

  override async remove (key: string, expectedVersion: string): Promise<client.WriteResult> {
    this.counts.remove += 1
    return await this.#change({ method: 'DELETE', path: objectPath(key), headers: conditionHeaders(expectedVersion) })
  }

  async #get (step: string, path: string, extraWaitMs = 0): Promise<client.StoredObject | undefined> {
    const answer = await this.#call(step, { method: 'GET', path }, extraWaitMs)
    if (answer.status === 404) return undefined
    if (answer.status !== 200) throw new client.PlatformUnavailable(step, `status ${answer.status}`)
    return storedObjectSchema.parse(JSON.parse(answer.body)) as client.StoredObject
  }

  async #change (exchange: Exchange): Promise<client.WriteResult> {
    let answer: runtime.httpCall.HttpAnswer
    try {
      answer = await this.#call('write', exchange)
    } catch (error) {
      return { kind: 'unknown', reason: (error as Error).message }
    }
    if (answer.status === 412) return { kind: 'conflict' }
    if (answer.status !== 200) return { kind: 'unknown', reason: `status ${answer.status}` }
    return { kind: 'written', version: versionSchema.parse(JSON.parse(answer.body)).version }
  }

  async #call (step: string, exchange: Exchange, extraWaitMs = 0): Promise<runtime.httpCall.HttpAnswer> {
    const limitMs = this.#options.timeoutMs + extraWaitMs
    try {
      return await runtime.httpCall.callHttp({
        method: exchange.method,
        url: this.#options.address + exchange.path,
        headers: exchange.headers,
        body: exchange.body,
        idleTimeoutMs: limitMs,
        signal: AbortSignal.timeout(limitMs),
        agent: this.#agent
      })
    } catch (error) {
      throw new client.PlatformUnavailable(step, (error as Error).message)
    }
  }
}

interface Exchange {
  method: string
  path: string
  headers?: Record<string, string>
  body?: string
}

function objectPath (key: string): string {
  return '/objects/' + key.split('/').map(encodeURIComponent).join('/')
}

function conditionHeaders (expectedVersion: string | undefined): Record<string, string> {
  if (expectedVersion === undefined) return { 'if-none-match': '*' }
  return { 'if-match': expectedVersion }
}

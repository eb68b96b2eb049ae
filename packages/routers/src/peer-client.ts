import * as grpc from '@grpc/grpc-js'
import * as definition from './peer-definition.js'
import type * as messages from './peer-messages.js'

/** A call to another router failed. */
export class PeerError extends Error {
  readonly step: string
  readonly address: string
  readonly peer = 'router'
  /** True where the other side's address refused the connection. */
  readonly refused: boolean

  constructor (address: string, step: string, reason: string) {
    super(`router at ${address} failed at ${step}: ${reason}`)
    this.address = address
    this.step = step
    this.refused = reason.includes('ECONNREFUSED')
  }
}

/** Failed calls in a row after which a connection counts as silent and is replaced. */
const SILENT_AFTER_FAILURES = 2

/** Connection options: HTTP/2 pings find connections that went silent. Times in milliseconds. */
const CHANNEL_OPTIONS: grpc.ChannelOptions = {
  'grpc.keepalive_time_ms': 2000,
  'grpc.keepalive_timeout_ms': 1000,
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 1000,
  'grpc.use_local_subchannel_pool': 1
}

interface Connection {
  client: grpc.Client
  failures: number
}

/** Calls other routers; keeps one connection to each address. */
export class PeerClient<Calls extends definition.CallTable<Calls> = messages.PeerCalls> {
  readonly #service: grpc.ServiceDefinition
  readonly #connections = new Map<string, Connection>()

  constructor (service: grpc.ServiceDefinition = definition.peersService) {
    this.#service = service
  }

  /** Calls a router and returns its reply. Throws PeerError. */
  call<Name extends keyof Calls & string> (address: string, name: Name, request: Calls[Name]['request'], timeoutMs: number): Promise<Calls[Name]['reply']> {
    const connection = this.#connection(address)
    const method = definition.callDefinition(this.#service, name)
    return new Promise((resolve, reject) => {
      const deadline = Date.now() + timeoutMs
      connection.client.makeUnaryRequest(method.path, method.requestSerialize, method.responseDeserialize, request, { deadline }, (error, reply) => {
        if (error === null) {
          connection.failures = 0
          resolve(reply as Calls[Name]['reply'])
          return
        }
        this.#noteFailure(address, connection)
        reject(new PeerError(address, name, error.message))
      })
    })
  }

  /** Closes all connections. */
  close (): void {
    for (const connection of this.#connections.values()) connection.client.close()
    this.#connections.clear()
  }

  /** Closes the connection to a router that has ended. */
  drop (address: string): void {
    this.#connections.get(address)?.client.close()
    this.#connections.delete(address)
  }

  #connection (address: string): Connection {
    let connection = this.#connections.get(address)
    if (connection === undefined) {
      connection = { client: new grpc.Client(address, grpc.credentials.createInsecure(), CHANNEL_OPTIONS), failures: 0 }
      this.#connections.set(address, connection)
    }
    return connection
  }

  #noteFailure (address: string, connection: Connection): void {
    connection.failures += 1
    if (connection.failures < SILENT_AFTER_FAILURES) return
    if (this.#connections.get(address) === connection) this.drop(address)
  }
}

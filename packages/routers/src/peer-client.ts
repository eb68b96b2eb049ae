import * as grpc from '@grpc/grpc-js'
import * as definition from './peer-definition.js'
import type * as messages from './peer-messages.js'

/** An RPC to another router failed. */
export class PeerError extends Error {
  /** Name of the RPC. */
  readonly step: string
  readonly address: string
  readonly peer = 'router'
  /** The connection was refused, so no process listens at the address. */
  readonly isConnectionRefused: boolean

  constructor (address: string, step: string, reason: string) {
    super(`router at ${address} failed at ${step}: ${reason}`)
    this.address = address
    this.step = step
    this.isConnectionRefused = reason.includes('ECONNREFUSED')
  }
}

/** Consecutive failed calls after which a connection is closed, so that the next call opens a new one. */
const FAILURES_BEFORE_RECONNECT = 2

/** gRPC channel options, in milliseconds. HTTP/2 keepalive pings detect silent connections. */
const CHANNEL_OPTIONS: grpc.ChannelOptions = {
  'grpc.keepalive_time_ms': 2000,
  'grpc.keepalive_timeout_ms': 1000,
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 1000,
  'grpc.use_local_subchannel_pool': 1
}

interface Connection {
  client: grpc.Client
  consecutiveFailures: number
}

/** RPC client for other routers or gateways. Keeps one connection per address. */
export class PeerClient<Calls extends definition.CallTable<Calls> = messages.PeerCalls> {
  readonly #service: grpc.ServiceDefinition
  readonly #connections = new Map<string, Connection>()

  constructor (service: grpc.ServiceDefinition = definition.peersService) {
    this.#service = service
  }

  /** Calls an RPC of the process at an address and returns the reply. Throws PeerError on failure or after `timeoutMs` milliseconds. */
  call<Name extends keyof Calls & string> (address: string, name: Name, request: Calls[Name]['request'], timeoutMs: number): Promise<Calls[Name]['reply']> {
    const connection = this.#connection(address)
    const method = definition.callDefinition(this.#service, name)
    return new Promise((resolve, reject) => {
      const deadline = Date.now() + timeoutMs
      connection.client.makeUnaryRequest(method.path, method.requestSerialize, method.responseDeserialize, request, { deadline }, (error, reply) => {
        if (error === null) {
          connection.consecutiveFailures = 0
          resolve(reply as Calls[Name]['reply'])
          return
        }
        this.#recordFailure(address, connection)
        reject(new PeerError(address, name, error.message))
      })
    })
  }

  /** Closes all connections. */
  close (): void {
    for (const connection of this.#connections.values()) connection.client.close()
    this.#connections.clear()
  }

  /** Closes the connection to an address, if there is one. The next call to it opens a new connection. */
  disconnect (address: string): void {
    this.#connections.get(address)?.client.close()
    this.#connections.delete(address)
  }

  #connection (address: string): Connection {
    let connection = this.#connections.get(address)
    if (connection === undefined) {
      connection = { client: new grpc.Client(address, grpc.credentials.createInsecure(), CHANNEL_OPTIONS), consecutiveFailures: 0 }
      this.#connections.set(address, connection)
    }
    return connection
  }

  #recordFailure (address: string, connection: Connection): void {
    connection.consecutiveFailures += 1
    if (connection.consecutiveFailures < FAILURES_BEFORE_RECONNECT) return
    if (this.#connections.get(address) === connection) this.disconnect(address)
  }
}

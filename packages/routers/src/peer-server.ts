import * as grpc from '@grpc/grpc-js'
import * as definition from './peer-definition.js'
import type * as handlers from './peer-handler.js'
import type * as messages from './peer-messages.js'

/** RPC server for other routers or gateways. */
export class PeerServer<Calls extends definition.CallTable<Calls> = messages.PeerCalls> {
  readonly #server = new grpc.Server()

  constructor (handler: handlers.PeerHandler<Calls>, service: grpc.ServiceDefinition = definition.peersService) {
    const names = Object.keys(service) as Array<keyof Calls & string>
    const implementation = Object.fromEntries(names.map((name) => [name, createUnaryHandler(handler, name)]))
    this.#server.addService(service, implementation)
  }

  /** Starts to listen and returns the bound port; port 0 selects a free one. Rejects if the port is in use. */
  listen (port: number, address: string): Promise<number> {
    return new Promise((resolve, reject) => {
      this.#server.bindAsync(`${address}:${port}`, grpc.ServerCredentials.createInsecure(), (error, boundPort) => {
        if (error === null) resolve(boundPort)
        else reject(error)
      })
    })
  }

  /** Stops the server immediately and cancels all open calls. */
  close (): void {
    this.#server.forceShutdown()
  }
}

function createUnaryHandler<Calls extends definition.CallTable<Calls>> (handler: handlers.PeerHandler<Calls>, name: keyof Calls & string): grpc.UntypedHandleCall {
  const handle: grpc.handleUnaryCall<object, object> = (call, done) => {
    handler.answer(name, call.request as never).then(
      (reply) => { done(null, reply) },
      (error: Error) => { done({ code: grpc.status.INTERNAL, details: error.message }) }
    )
  }
  return handle as grpc.UntypedHandleCall
}

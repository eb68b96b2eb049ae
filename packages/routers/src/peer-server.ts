import * as grpc from '@grpc/grpc-js'
import * as definition from './peer-definition.js'
import type * as handlers from './peer-handler.js'
import type * as messages from './peer-messages.js'

/** Listens for the calls of other routers. */
export class PeerServer<Calls extends definition.CallTable<Calls> = messages.PeerCalls> {
  readonly #server = new grpc.Server()

  constructor (handler: handlers.PeerHandler<Calls>, service: grpc.ServiceDefinition = definition.peersService) {
    const names = Object.keys(service) as Array<keyof Calls & string>
    const implementation = Object.fromEntries(names.map((name) => [name, answerWith(handler, name)]))
    this.#server.addService(service, implementation)
  }

  /** Listens and returns the port; port 0 takes a free one. */
  listen (port: number, address: string): Promise<number> {
    return new Promise((resolve, reject) => {
      this.#server.bindAsync(`${address}:${port}`, grpc.ServerCredentials.createInsecure(), (error, bound) => {
        if (error === null) resolve(bound)
        else reject(error)
      })
    })
  }

  /** Ends all connections. */
  close (): void {
    this.#server.forceShutdown()
  }
}

function answerWith<Calls extends definition.CallTable<Calls>> (handler: handlers.PeerHandler<Calls>, name: keyof Calls & string): grpc.UntypedHandleCall {
  const handle: grpc.handleUnaryCall<object, object> = (call, done) => {
    handler.answer(name, call.request as never).then(
      (reply) => { done(null, reply) },
      (error: Error) => { done({ code: grpc.status.INTERNAL, details: error.message }) }
    )
  }
  return handle as grpc.UntypedHandleCall
}

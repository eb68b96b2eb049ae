import type * as definition from './peer-definition.js'
import type * as messages from './peer-messages.js'

/** Handles the RPCs of other routers or gateways. */
export abstract class PeerHandler<Calls extends definition.CallTable<Calls> = messages.PeerCalls> {
  /** Returns the reply to an RPC. A rejection is sent to the peer as the gRPC status INTERNAL with the error message. */
  abstract answer<Name extends keyof Calls & string> (name: Name, request: Calls[Name]['request']): Promise<Calls[Name]['reply']>
}

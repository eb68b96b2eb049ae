import type * as definition from './peer-definition.js'
import type * as messages from './peer-messages.js'

/** Answers the calls of other routers. */
export abstract class PeerHandler<Calls extends definition.CallTable<Calls> = messages.PeerCalls> {
  /** Answers one call. A rejection reaches the other side as an internal error. */
  abstract answer<Name extends keyof Calls & string> (name: Name, request: Calls[Name]['request']): Promise<Calls[Name]['reply']>
}

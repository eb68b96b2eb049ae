import type * as messages from './peer-messages.js'

/** Answers the calls of other routers. */
export abstract class PeerHandler {
  /** Answers one call. A rejection reaches the other side as an internal error. */
  abstract answer<Name extends messages.PeerCallName> (name: Name, request: messages.PeerCalls[Name]['request']): Promise<messages.PeerCalls[Name]['reply']>
}

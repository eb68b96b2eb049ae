import * as decisions from '@acaciaweir/decisions'
import * as routers from '@acaciaweir/routers'
import * as pattern from 'ts-pattern'
import type * as configurations from './configuration-task.js'
import type * as incarnations from './incarnation.js'
import type * as keys from './key-gate.js'
import type * as streams from './running-streams.js'

type PeerCalls = routers.peerMessages.PeerCalls
type PeerCallName = routers.peerMessages.PeerCallName

/** Dependencies of the handler of other routers' RPCs. */
export interface PeerRequestHandlerOptions {
  /** All incarnations of this process by id: the current one and the sealed ones. */
  ownIncarnations: ReadonlyMap<string, incarnations.Incarnation>
  currentIncarnation: () => incarnations.Incarnation
  witnessStore: decisions.witnessStore.WitnessStore
  keyGate: keys.KeyGate
  streams: streams.RunningStreams
  configuration: configurations.ConfigurationTask
  heartbeat: (message: routers.peerMessages.HeartbeatMessage) => routers.peerMessages.HeartbeatMessage
}

/** Handles the RPCs of other routers. */
export class PeerRequestHandler extends routers.peerHandler.PeerHandler {
  readonly #options: PeerRequestHandlerOptions

  constructor (options: PeerRequestHandlerOptions) {
    super()
    this.#options = options
  }

  override async answer<CallName extends PeerCallName> (name: CallName, request: PeerCalls[CallName]['request']): Promise<PeerCalls[CallName]['reply']> {
    const reply = await pattern.match<PeerCallName, Promise<unknown> | unknown>(name)
      .with('Heartbeat', () => this.#options.heartbeat(request as PeerCalls['Heartbeat']['request']))
      .with('Hold', () => this.#hold(request as PeerCalls['Hold']['request']))
      .with('Seal', () => this.#seal(request as PeerCalls['Seal']['request']))
      .with('LookUp', () => this.#lookUp(request as PeerCalls['LookUp']['request']))
      .with('Transfer', () => this.#transfer(request as PeerCalls['Transfer']['request']))
      .with('FetchConfiguration', () => this.#options.configuration.toReply())
      .with('TakeOver', () => this.#takeOver(request as PeerCalls['TakeOver']['request']))
      .exhaustive()
    return reply as PeerCalls[CallName]['reply']
  }

  #hold (request: PeerCalls['Hold']['request']): PeerCalls['Hold']['reply'] {
    this.#assertOwnWitness(request.witness)
    return this.#options.witnessStore.hold(request.incarnation, request.records, request.journaled)
  }

  #seal (request: PeerCalls['Seal']['request']): PeerCalls['Seal']['reply'] {
    this.#assertOwnWitness(request.witness)
    return { records: this.#options.witnessStore.seal(request.incarnation) }
  }

  #lookUp (request: PeerCalls['LookUp']['request']): PeerCalls['LookUp']['reply'] {
    return { state: this.#options.keyGate.lookUp(request.account, request.key) }
  }

  async #transfer (request: PeerCalls['Transfer']['request']): Promise<PeerCalls['Transfer']['reply']> {
    return await this.#options.currentIncarnation().ledger.transferOut(request.budget, request.account, request.tokens)
  }

  #takeOver (request: PeerCalls['TakeOver']['request']): PeerCalls['TakeOver']['reply'] {
    return this.#options.streams.takeOver(request.requestId, request.account)
  }

  /**
   * Throws if an RPC names a witness that is not an incarnation of this process. The sender then uses the address of an
   * earlier process, whose copies this one does not have.
   */
  #assertOwnWitness (witness: string): void {
    if (!this.#options.ownIncarnations.has(witness)) throw new Error(`witness ${witness} is not an incarnation of this process`)
  }
}

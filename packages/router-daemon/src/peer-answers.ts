import * as decisions from '@acaciaweir/decisions'
import * as routers from '@acaciaweir/routers'
import * as pattern from 'ts-pattern'
import type * as configurations from './configuration-task.js'
import type * as incarnations from './incarnation.js'
import type * as keys from './key-gate.js'
import type * as streams from './running-streams.js'

type Calls = routers.peerMessages.PeerCalls
type Names = routers.peerMessages.PeerCallName

/** What answering other routers needs. */
export interface PeerAnswersOptions {
  /** Incarnations of this process, the present one and those that were sealed. */
  own: ReadonlyMap<string, incarnations.Incarnation>
  present: () => incarnations.Incarnation
  witnessStore: decisions.witnessStore.WitnessStore
  keyGate: keys.KeyGate
  streams: streams.RunningStreams
  configuration: configurations.ConfigurationTask
  heartbeat: (message: routers.peerMessages.HeartbeatMessage) => routers.peerMessages.HeartbeatMessage
}

/** Answers the calls of other routers from this router's state. */
export class PeerAnswers extends routers.peerHandler.PeerHandler {
  readonly #options: PeerAnswersOptions

  constructor (options: PeerAnswersOptions) {
    super()
    this.#options = options
  }

  override async answer<Name extends Names> (name: Name, request: Calls[Name]['request']): Promise<Calls[Name]['reply']> {
    const reply = await pattern.match<Names, Promise<unknown> | unknown>(name)
      .with('Heartbeat', () => this.#options.heartbeat(request as Calls['Heartbeat']['request']))
      .with('Hold', () => this.#hold(request as Calls['Hold']['request']))
      .with('Seal', () => this.#seal(request as Calls['Seal']['request']))
      .with('LookUp', () => this.#lookUp(request as Calls['LookUp']['request']))
      .with('Transfer', () => this.#transfer(request as Calls['Transfer']['request']))
      .with('FetchConfiguration', () => this.#options.configuration.asText())
      .with('TakeOver', () => this.#takeOver(request as Calls['TakeOver']['request']))
      .exhaustive()
    return reply as Calls[Name]['reply']
  }

  #hold (request: Calls['Hold']['request']): Calls['Hold']['reply'] {
    this.#requireOwn(request.witness)
    return this.#options.witnessStore.hold(request.incarnation, request.records, request.journaled)
  }

  #seal (request: Calls['Seal']['request']): Calls['Seal']['reply'] {
    this.#requireOwn(request.witness)
    return { records: this.#options.witnessStore.seal(request.incarnation) }
  }

  #lookUp (request: Calls['LookUp']['request']): Calls['LookUp']['reply'] {
    return { state: this.#options.keyGate.lookUp(request.account, request.key) }
  }

  async #transfer (request: Calls['Transfer']['request']): Promise<Calls['Transfer']['reply']> {
    return await this.#options.present().ledger.transferOut(request.budget, request.account, request.tokens)
  }

  #takeOver (request: Calls['TakeOver']['request']): Calls['TakeOver']['reply'] {
    return this.#options.streams.takeOver(request.requestId, request.account)
  }

  /** A later process at the same address has none of the copies that the named witness held. */
  #requireOwn (witness: string): void {
    if (!this.#options.own.has(witness)) throw new Error(`this is not ${witness}`)
  }
}

import * as decisions from '@acaciaweir/decisions'
import type * as callers from '@acaciaweir/callers'
import * as platform from '@acaciaweir/platform'
import * as routers from '@acaciaweir/routers'
import * as pattern from 'ts-pattern'
import * as incarnations from './incarnation.js'

/** Longest wait for the home of a key, in milliseconds. */
const LOOK_UP_TIMEOUT_MS = 1000

/** What the key gate works with. */
export interface KeyGateOptions {
  platform: platform.platformClient.PlatformClient
  peers: routers.peerClient.PeerClient
  /** Incarnations of this process, the present one and those that were sealed. */
  own: ReadonlyMap<string, incarnations.Incarnation>
  /** Peer address of a live router. */
  addressOf: (incarnation: string) => string | undefined
}

/** Lets a request that may run at most once through only at the incarnation that its key names. */
export class KeyGate {
  readonly #options: KeyGateOptions

  constructor (options: KeyGateOptions) {
    this.#options = options
  }

  /**
   * Admits the key at the present incarnation and returns the function to call when admission has ended.
   * Throws ProblemError where the request has run, is running, may not run here, or its state is unknown.
   */
  async enter (present: incarnations.Incarnation, envelope: callers.callerTypes.CallEnvelope): Promise<() => void> {
    if (envelope.repeatable) return () => {}
    const home = decisions.requestKey.parsePrefixedKey(envelope.key ?? '')
    if (envelope.key === undefined || home === undefined) throw refusal('key_required')
    const claim = decisions.journal.claimName(envelope.caller.account, envelope.key)
    envelope.proof.checked = true
    if (home.incarnation !== present.id) throw refusalOf(await this.#stateElsewhere(home.incarnation, envelope.caller.account, envelope.key))
    if (present.refused.has(claim)) throw refusal('key_expired')
    const state = incarnations.runStateOf(present, claim)
    if (state !== undefined && state !== decisions.journalTypes.RunState.notRun) throw refusalOf(state)
    present.admitting.add(claim)
    return () => { present.admitting.delete(claim) }
  }

  /** Answers another router's question about a key of this process. A key that has not run is refused from then on. */
  lookUp (account: string, key: string): decisions.journalTypes.RunState {
    const home = decisions.requestKey.parsePrefixedKey(key)
    const own = this.#options.own.get(home?.incarnation ?? '')
    if (own === undefined) return decisions.journalTypes.RunState.unknown
    const claim = decisions.journal.claimName(account, key)
    const state = incarnations.runStateOf(own, claim)
    if (state !== undefined && state !== decisions.journalTypes.RunState.notRun) return state
    own.refused.add(claim)
    return decisions.journalTypes.RunState.notRun
  }

  async #stateElsewhere (incarnation: string, account: string, key: string): Promise<decisions.journalTypes.RunState> {
    if (this.#options.own.has(incarnation)) return this.lookUp(account, key)
    const address = this.#options.addressOf(incarnation)
    if (address !== undefined) {
      try {
        return (await this.#options.peers.call(address, 'LookUp', { account, key }, LOOK_UP_TIMEOUT_MS)).state
      } catch {
        // The home is unreachable: its journal may tell.
      }
    }
    return await this.#stateInJournal(incarnation, decisions.journal.claimName(account, key))
  }

  async #stateInJournal (incarnation: string, claim: string): Promise<decisions.journalTypes.RunState> {
    try {
      const stored = await this.#options.platform.read(platform.objectKeys.journalKey(incarnation))
      if (stored === undefined) return decisions.journalTypes.RunState.unknown
      return decisions.requestKey.runStateFromEndedJournal(stored.value as decisions.journalTypes.Journal, claim)
    } catch {
      return decisions.journalTypes.RunState.unknown
    }
  }
}

function refusalOf (state: decisions.journalTypes.RunState): decisions.problem.ProblemError {
  return refusal(pattern.match(state)
    .returnType<decisions.problem.ProblemTag>()
    .with('running', () => 'duplicate_running')
    .with('ran', () => 'already_ran')
    .with('not-run', () => 'key_expired')
    .with('unknown', () => 'key_foreign')
    .exhaustive())
}

function refusal (tag: decisions.problem.ProblemTag): decisions.problem.ProblemError {
  return new decisions.problem.ProblemError({ tag, step: 'check key', peer: decisions.problem.Peer.self })
}

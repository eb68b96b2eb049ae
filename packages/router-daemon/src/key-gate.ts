import * as decisions from '@acaciaweir/decisions'
import type * as callers from '@acaciaweir/callers'
import * as platform from '@acaciaweir/platform'
import * as routers from '@acaciaweir/routers'
import * as pattern from 'ts-pattern'
import * as incarnations from './incarnation.js'

const KEY_LOOKUP_TIMEOUT_MS = 1000

/** Dependencies of the key gate. */
export interface KeyGateOptions {
  platform: platform.platformClient.PlatformClient
  peers: routers.peerClient.PeerClient
  /** Incarnations of this process: the current one and those that were sealed. */
  ownIncarnations: ReadonlyMap<string, incarnations.Incarnation>
  /** Returns the peer address of a live router, undefined for any other. */
  addressOf: (incarnation: string) => string | undefined
}

/** Checks idempotency keys. A request that may run at most once is admitted only at the incarnation that its key names. */
export class KeyGate {
  readonly #options: KeyGateOptions

  constructor (options: KeyGateOptions) {
    this.#options = options
  }

  /**
   * Marks the key as running at the current incarnation. Returns the function that removes the mark, for when the request is closed
   * or its admission fails. Throws ProblemError if the key is missing, has run, is running, may not run here, or its state is unknown.
   */
  async admitKey (currentIncarnation: incarnations.Incarnation, envelope: callers.callerTypes.CallEnvelope): Promise<() => void> {
    if (envelope.repeatable) return () => {}
    const parsedKey = decisions.requestKey.parsePrefixedKey(envelope.key ?? '')
    if (envelope.key === undefined || parsedKey === undefined) throw createProblem('key_required')
    const claim = decisions.journal.claimName(envelope.caller.account, envelope.key)
    envelope.keyCheck.isDone = true
    if (parsedKey.incarnation !== currentIncarnation.id) throw createStateProblem(await this.#lookUpElsewhere(parsedKey.incarnation, envelope.caller.account, envelope.key))
    if (currentIncarnation.refusedClaims.has(claim)) throw createProblem('key_expired')
    const state = incarnations.runStateOf(currentIncarnation, claim)
    if (state !== undefined && state !== decisions.journalTypes.RunState.notRun) throw createStateProblem(state)
    currentIncarnation.admittingClaims.add(claim)
    return () => { currentIncarnation.admittingClaims.delete(claim) }
  }

  /**
   * Returns the run state of a key of this process, for another router. A key that has not run is refused from then on, so that
   * the answer stays true.
   */
  lookUp (account: string, key: string): decisions.journalTypes.RunState {
    const parsedKey = decisions.requestKey.parsePrefixedKey(key)
    const own = this.#options.ownIncarnations.get(parsedKey?.incarnation ?? '')
    if (own === undefined) return decisions.journalTypes.RunState.unknown
    const claim = decisions.journal.claimName(account, key)
    const state = incarnations.runStateOf(own, claim)
    if (state !== undefined && state !== decisions.journalTypes.RunState.notRun) return state
    own.refusedClaims.add(claim)
    return decisions.journalTypes.RunState.notRun
  }

  async #lookUpElsewhere (incarnation: string, account: string, key: string): Promise<decisions.journalTypes.RunState> {
    if (this.#options.ownIncarnations.has(incarnation)) return this.lookUp(account, key)
    const address = this.#options.addressOf(incarnation)
    if (address !== undefined) {
      try {
        return (await this.#options.peers.call(address, 'LookUp', { account, key }, KEY_LOOKUP_TIMEOUT_MS)).state
      } catch {
        // The router that the key names is unreachable, but its journal may hold the state.
      }
    }
    return await this.#readStateFromJournal(incarnation, decisions.journal.claimName(account, key))
  }

  async #readStateFromJournal (incarnation: string, claim: string): Promise<decisions.journalTypes.RunState> {
    try {
      const stored = await this.#options.platform.read(platform.objectKeys.journalKey(incarnation))
      if (stored === undefined) return decisions.journalTypes.RunState.unknown
      return decisions.requestKey.runStateFromEndedJournal(stored.value as decisions.journalTypes.Journal, claim)
    } catch {
      return decisions.journalTypes.RunState.unknown
    }
  }
}

function createStateProblem (state: decisions.journalTypes.RunState): decisions.problem.ProblemError {
  return createProblem(pattern.match(state)
    .returnType<decisions.problem.ProblemTag>()
    .with('running', () => 'duplicate_running')
    .with('ran', () => 'already_ran')
    .with('not-run', () => 'key_expired')
    .with('unknown', () => 'key_foreign')
    .exhaustive())
}

function createProblem (tag: decisions.problem.ProblemTag): decisions.problem.ProblemError {
  return new decisions.problem.ProblemError({ tag, step: 'check key', peer: decisions.problem.Peer.self })
}

import * as decisions from '@acaciaweir/decisions'
import type * as adapter from '@acaciaweir/platform-adapter'
import type * as runtime from '@acaciaweir/runtime'
import type * as calls from './call.js'
import type * as connectionSlots from './connection-slots.js'
import type * as roomQueues from './room-queue.js'
import type * as targetPermits from './target-permits.js'

type Entry = decisions.agreementTypes.TargetEntry

const { targetLifetime } = decisions.agreementTypes

/** Least time between two choices of a target for a request that waits, in milliseconds. */
const MINIMUM_WAIT_MS = 10

/** Interval at which a request that waits for a connection looks for a target anew, in milliseconds. Targets come, and others leave or rest. */
const ROOM_CHECK_INTERVAL_MS = 100

/** Interval at which a request that waits for a permit or for targets that rest checks whether all targets are in evacuated zones, in milliseconds. */
const EVACUATION_CHECK_INTERVAL_MS = 100

/** Dependencies of the choice of targets. */
export interface TargetChooserOptions {
  clock: decisions.clock.Clock
  logger: runtime.logging.Logger
  board: decisions.targetBoard.TargetBoard
  random: decisions.random.RandomSource
  targetLimits: decisions.targetLimits.TargetLimits
  targetRests: decisions.targetRests.TargetRests
  coldTargets: decisions.coldTargets.ColdTargets
  permits: targetPermits.TargetPermits
  slots: connectionSlots.ConnectionSlots
  roomQueue: roomQueues.RoomQueue
  leavingAdmission: decisions.leavingAdmission.LeavingAdmission
  availabilityZone: string
  /** Sends a heartbeat with what a target said to the other gateways. */
  announce: () => void
  onChosen: (reason: decisions.placement.PlacementReason) => void
}

/** A target that was chosen for a request, with a connection to it. Call `release` once, when the request has ended or is not sent. */
export interface ChosenTarget {
  placement: decisions.placement.Placement
  /** Ends the count of the choice on the target board. Call it where the request itself is counted, as it is sent. */
  stopCounting: () => void
  release: () => void
}

/** Chooses the target of a request, by load, caches and what targets have said of themselves in their answers. */
export class TargetChooser {
  readonly #options: TargetChooserOptions

  constructor (options: TargetChooserOptions) {
    this.#options = options
  }

  /**
   * Chooses a target that has a free connection, with a permit where it names a limit. Where all connections are in use, waits for one. Where
   * all targets are at their limits or rest, waits if that does not take long; otherwise returns undefined, and sets the time that it would take.
   */
  async place (call: calls.Call, triedTargets: ReadonlySet<string>): Promise<ChosenTarget | undefined> {
    const { roomQueue, slots } = this.#options
    if (!await roomQueue.enter(call)) return undefined
    let turn: connectionSlots.WaitingTurn | undefined
    try {
      while (call.abortReason === undefined && this.mayStart(call)) {
        const chosen = await this.#placeUnlessFull(call, triedTargets)
        if (chosen !== undefined || this.#fullTargets(call, triedTargets).length === 0) return chosen
        turn ??= slots.joinQueue(call.service, call.rank, call.account?.name)
        slots.makeRoom()
        await turn.next(ROOM_CHECK_INTERVAL_MS, call.abortController.signal)
      }
      return undefined
    } finally {
      if (turn !== undefined) slots.leaveQueue(call.service, turn)
    }
  }

  /** Chooses a healthy target that takes the call now. Returns undefined if that takes waiting for more than a permit. */
  async placeAtOnce (call: calls.Call, triedTargets: ReadonlySet<string>): Promise<ChosenTarget | undefined> {
    const { clock, permits } = this.#options
    const placement = this.#choose(call, triedTargets)
    if (placement === undefined || placement.target.backoffUntil > clock.now()) return undefined
    const chosen = this.#take(call, placement)
    if (await permits.acquire(placement.target.entry) && this.#isStillWanted(placement.target.entry)) return { ...chosen, placement: this.#withoutBarredCopy(placement) }
    chosen.release()
    return undefined
  }

  /** Returns false where the gateway is leaving and the call could outlast it. A call that may have run can't be refused, so that it goes on. */
  mayStart (call: calls.Call): boolean {
    if (call.sends.some((send) => send.result !== 'not-run')) return true
    const now = this.#options.clock.now()
    return this.#options.leavingAdmission.mayStart(call.route.name, call.deadlineAt - now, now)
  }

  /** Chooses a target as `place` does, but returns undefined where a target could take the call if it had a free connection. */
  async #placeUnlessFull (call: calls.Call, triedTargets: ReadonlySet<string>): Promise<ChosenTarget | undefined> {
    const { clock, permits } = this.#options
    const waitUntil = clock.now() + permits.maximumWaitMs(call.rank)
    while (call.abortReason === undefined) {
      const placement = this.#choose(call, triedTargets)
      if (placement !== undefined) {
        call.permitWaitMs = undefined
        call.areTargetsResting = false
        const chosen = this.#take(call, placement)
        const isPermitted = await permits.acquire(placement.target.entry)
        // The caller may have left while the request waited for its permit, the target may have left or asked for rest, and its zone may be evacuated.
        if (isPermitted && call.abortReason === undefined && this.#isStillWanted(placement.target.entry)) return { ...chosen, placement: this.#withoutBarredCopy(placement) }
        chosen.release()
        continue
      }
      if (this.#fullTargets(call, triedTargets).length > 0) return undefined
      call.permitWaitMs = this.#expectedWaitMs(call, triedTargets)
      if (call.permitWaitMs === undefined || clock.now() + call.permitWaitMs > waitUntil) return undefined
      await this.#wait(call, call.permitWaitMs)
    }
    return undefined
  }

  /** Keeps what a target says of itself in an answer: its limit, that it leaves, or that it wants nothing for a while. */
  recordAnswer (call: calls.Call, target: Entry, answer: adapter.targetRequest.TargetResponse, sentAt: number): void {
    if (!answer.belongsToAttempt) return
    const { announce, board, clock, logger, targetLimits, targetRests } = this.#options
    const run = targetLifetime(target)
    call.limitPerSecond = answer.limitPerSecond
    if (targetLimits.recordAnswer(run, answer.limitPerSecond, sentAt, clock.now())) announce()
    if (answer.coldMs !== undefined && this.#options.coldTargets.recordAnswer(target, answer.coldMs, clock.now())) announce()
    if (answer.isLeaving && board.markRunLeaving(target)) {
      logger.info({ event: 'target-leaving', target: run, service: target.service, address: target.address, source: 'answer' })
      announce()
    }
    if (answer.restMs !== undefined && targetRests.record(run, answer.restMs, clock.now())) {
      logger.info({ event: 'target-rests', target: run, service: target.service, milliseconds: Math.round(answer.restMs) })
    }
  }

  #choose (call: calls.Call, triedTargets: ReadonlySet<string>): decisions.placement.Placement | undefined {
    const { board, clock, coldTargets, slots } = this.#options
    const now = clock.now()
    const placement = decisions.placement.chooseTarget(board, {
      service: call.service,
      sharedParts: call.request.promptParts.slice(0, -1),
      promptTokens: call.request.promptTokens ?? 0,
      availabilityZone: this.#options.availabilityZone
    }, triedTargets, now, ({ entry }) => this.#isAllowed(call, entry) && slots.hasRoom(entry), this.#options.random, ({ entry }) => coldTargets.phaseOf(entry, now)?.share ?? 0)
    const isLastResort = placement !== undefined && placement.target.backoffUntil > now
    if (isLastResort && this.#fullTargets(call, triedTargets).some((target) => target.backoffUntil <= now)) return undefined
    return placement === undefined ? undefined : this.#withoutBarredCopy(placement)
  }

  /** Takes a connection to the target, and counts the call there before it is sent. */
  #take (call: calls.Call, placement: decisions.placement.Placement): ChosenTarget {
    const { board, clock, onChosen, roomQueue, slots } = this.#options
    onChosen(placement.reason)
    const stopCounting = board.recordChoice(placement.target.entry.id, decisions.placement.promptReadingCost(call.request.promptTokens ?? 0), clock.now())
    const releaseConnection = slots.take(placement.target.entry, call.account?.name)
    const stopUsing = roomQueue.start(call)
    const release = (): void => {
      stopCounting()
      stopUsing()
      releaseConnection()
    }
    return { placement, stopCounting, release }
  }

  /** Returns the placement without a copy from a target that wants no requests or is in an evacuated zone. */
  #withoutBarredCopy (placement: decisions.placement.Placement): decisions.placement.Placement {
    const { copyFrom } = placement
    if (copyFrom === undefined) return placement
    return this.#isResting(copyFrom.entry) || this.#options.board.isEvacuated(copyFrom.entry) ? { ...placement, copyFrom: undefined } : placement
  }

  #isAllowed (call: calls.Call, entry: Entry): boolean {
    return !this.#isResting(entry) && this.#options.permits.mayAsk(entry, call.rank)
  }

  /** Returns the targets that could take the call if one of their connections were free. */
  #fullTargets (call: calls.Call, triedTargets: ReadonlySet<string>): decisions.targetBoard.TargetState[] {
    const { board, slots } = this.#options
    return board.assignableTargets(call.service).filter(({ entry }) => !triedTargets.has(entry.id) && !slots.hasRoom(entry) && this.#isAllowed(call, entry))
  }

  /** Returns whether a target that was chosen before a wait is still registered, stays, is in no evacuated zone, and wants requests. */
  #isStillWanted (entry: Entry): boolean {
    const known = this.#options.board.get(entry.id)?.entry
    return known !== undefined && !known.leaving && targetLifetime(known) === targetLifetime(entry) && !this.#options.board.isEvacuated(known) && !this.#isResting(entry)
  }

  /** Returns the time until a target may take the call, in milliseconds; undefined where neither limits nor rests are the reason that none does. */
  #expectedWaitMs (call: calls.Call, triedTargets: ReadonlySet<string>): number | undefined {
    const { board, clock, permits, targetRests } = this.#options
    const untried = board.assignableTargets(call.service).map((target) => target.entry).filter((entry) => !triedTargets.has(entry.id))
    const awake = untried.filter((entry) => !this.#isResting(entry))
    const restMs = targetRests.firstEndMs(untried.map(targetLifetime), clock.now())
    const permitMs = permits.expectedWaitMs(awake)
    call.areTargetsResting = restMs !== undefined && awake.length === 0
    return restMs === undefined || permitMs === undefined ? restMs ?? permitMs : Math.min(restMs, permitMs)
  }

  async #wait (call: calls.Call, milliseconds: number): Promise<void> {
    const { board, clock, permits } = this.#options
    const stopWaiting = permits.startWaiting(call.service, call.rank)
    const end = clock.now() + Math.max(MINIMUM_WAIT_MS, milliseconds)
    while (!call.abortController.signal.aborted && clock.now() < end && board.confiningZones(call.service).length === 0) {
      await clock.sleep(Math.min(EVACUATION_CHECK_INTERVAL_MS, end - clock.now()), call.abortController.signal)
    }
    stopWaiting()
  }

  #isResting (entry: Entry): boolean {
    return this.#options.targetRests.isResting(targetLifetime(entry), this.#options.clock.now())
  }
}

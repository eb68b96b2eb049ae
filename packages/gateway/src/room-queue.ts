import type * as decisions from '@acaciaweir/decisions'
import type * as calls from './call.js'
import type * as connectionSlots from './connection-slots.js'

/** Interval at which a request that waits for room asks again, in milliseconds. Other gateways' requests end too. */
const ROOM_CHECK_INTERVAL_MS = 20

/** Number of values that a draw can take. */
const DRAW_STEPS = 1024

export interface RoomQueueOptions {
  clock: decisions.clock.Clock
  board: decisions.targetBoard.TargetBoard
  room: decisions.serviceRoom.ServiceRoom
  slots: connectionSlots.ConnectionSlots
  random: decisions.random.RandomSource
  /** Called with each request that has to wait or is refused. */
  onFull: (verdict: 'wait' | 'refuse', rank: number) => void
}

/** Keeps requests of accounts that have more than their part of a full service until it has room for them, or refuses them. */
export class RoomQueue {
  readonly #options: RoomQueueOptions

  constructor (options: RoomQueueOptions) {
    this.#options = options
  }

  /** Counts a call that is to be sent. Call the returned function once, when it has ended. */
  start (call: calls.Call): () => void {
    return this.#options.room.start(call.service, accountOf(call), call.rank)
  }

  /** Returns true once the service has room for the call; false if the call is to be refused, or has ended. A call that was sent before goes on. */
  async enter (call: calls.Call): Promise<boolean> {
    if (call.sends.length > 0) return true
    let verdict = this.#judge(call)
    if (verdict.kind === 'go') return true
    this.#options.onFull(verdict.kind, call.rank)
    call.room = { ...verdict.grounds, isRefused: false }
    if (verdict.kind === 'wait') verdict = await this.#waitForRoom(call, verdict.maximumMs)
    if (verdict.kind === 'go') return call.abortReason === undefined
    call.room = { ...verdict.grounds, isRefused: true }
    return false
  }

  async #waitForRoom (call: calls.Call, maximumMs: number): Promise<decisions.serviceRoom.RoomVerdict> {
    const { clock, room, slots } = this.#options
    const startedAt = clock.now()
    const turn = slots.joinQueue(call.service, call.rank, call.account?.name)
    try {
      for (;;) {
        const stopWaiting = room.wait(call.service, accountOf(call), call.rank)
        const isRoomFree = await turn.next(Math.min(ROOM_CHECK_INTERVAL_MS, startedAt + maximumMs - clock.now()), call.abortController.signal)
        stopWaiting()
        const verdict = this.#judge(call)
        const isOver = call.abortReason !== undefined || clock.now() >= startedAt + maximumMs
        // Room that this request does not take is offered to the one behind it.
        if (isRoomFree && verdict.kind !== 'go') slots.passOn(call.service, turn)
        if (verdict.kind !== 'wait' || isOver) return verdict
      }
    } finally {
      slots.leaveQueue(call.service, turn)
    }
  }

  #judge (call: calls.Call): decisions.serviceRoom.RoomVerdict {
    const { board, clock, random, room } = this.#options
    const now = clock.now()
    return room.judge({
      service: call.service,
      account: accountOf(call),
      rank: call.rank,
      objectiveMs: call.route.objectiveMs,
      timeLeftMs: call.deadlineAt - now,
      servingMs: board.readingMs(call.service)
    }, board.serviceLoad(call.service, now), now, random.integer(DRAW_STEPS) / DRAW_STEPS)
  }
}

function accountOf (call: calls.Call): string {
  return call.account?.name ?? ''
}

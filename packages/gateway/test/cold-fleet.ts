import * as decisions from '@acaciaweir/decisions'
import * as runtime from '@acaciaweir/runtime'
import type * as calls from '../src/call.js'
import * as connectionSlots from '../src/connection-slots.js'
import * as roomQueues from '../src/room-queue.js'
import * as targetChoosers from '../src/target-chooser.js'
import * as targetPermits from '../src/target-permits.js'
import * as virtualClocks from './virtual-clock.js'

type Entry = decisions.agreementTypes.TargetEntry

const CALL_MS = 1
const CALL_TIMEOUT_MS = 150
const WORK_MS = 400
const PATIENCE_MS = 4000
const SUSPECT_AFTER_MS = 2000
const SUSPECT_AFTER_PER_GATEWAY_MS = 20

interface Gateway {
  board: decisions.targetBoard.TargetBoard
  coldTargets: decisions.coldTargets.ColdTargets
  permits: targetPermits.TargetPermits
  chooser: targetChoosers.TargetChooser
}

/** Gateways that choose targets in virtual time, without a network. Requests to targets are counted. */
export class ColdFleet {
  readonly clock = new virtualClocks.VirtualClock()
  /** Arrival times at targets that were cold then, by target. */
  readonly arrivals = new Map<string, number[]>()
  /** Gateways, by position, whose calls to others and of others to them fail although they are heard. */
  unreachable = new Set<number>()
  /** Times at which gateways died, by position. */
  readonly diedAt = new Map<number, number>()
  readonly #coldUntil = new Map<string, number>()
  readonly #gateways: Gateway[]
  readonly #random = new decisions.random.SeededRandom(7)

  constructor (gateways: number, coldStart: decisions.agreementTypes.ColdStart) {
    this.#gateways = Array.from({ length: gateways }, (_value, index) => this.#createGateway(index, coldStart))
  }

  /** Registers targets at all gateways. */
  register (entries: Entry[]): void {
    for (const entry of entries) {
      this.#coldUntil.set(entry.id, this.clock.now() + (entry.coldMs ?? 0))
      for (const { board, coldTargets } of this.#gateways) {
        board.upsertEntry(entry)
        coldTargets.recordEntry(entry, true, this.clock.now())
      }
    }
  }

  /** Position of the gateway that keeps the rate of a target. */
  keeper (target: string): number {
    return Number(decisions.hashing.rendezvousOrder(this.#gateways.map((_gateway, index) => String(index)), target, (name) => name)[0])
  }

  /** Sends requests to random gateways at a fixed rate for a time. */
  async offer (perSecond: number, milliseconds: number): Promise<void> {
    const end = this.clock.now() + milliseconds
    const send = async (): Promise<void> => {
      for (; this.clock.now() < end; await this.clock.sleep(1000 / perSecond)) void this.#serve(this.#random.integer(this.#gateways.length))
    }
    await Promise.all([send(), this.clock.runUntil(end + PATIENCE_MS)])
  }

  /** Returns the most requests that a target got in any second. */
  mostInASecond (target: string): number {
    const times = this.arrivals.get(target) ?? []
    return Math.max(0, ...times.map((from) => times.filter((at) => at >= from && at < from + 1000).length))
  }

  async #serve (index: number): Promise<void> {
    if (this.diedAt.has(index)) return
    const { board, chooser } = this.#gateways[index]
    const request = { promptParts: [], promptTokens: 2000 }
    const call = { service: 'engines', sends: [], route: { name: 'plan' }, deadlineAt: this.clock.now() + PATIENCE_MS, rank: this.#random.integer(3), request, abortController: new AbortController() } as unknown as calls.Call
    const chosen = await chooser.place(call, new Set())
    if (chosen === undefined) return
    const { id } = chosen.placement.target.entry
    if ((this.#coldUntil.get(id) ?? 0) > this.clock.now()) this.arrivals.set(id, [...this.arrivals.get(id) ?? [], this.clock.now()])
    board.recordStart(id, 2000, [], this.clock.now())
    await this.clock.sleep(WORK_MS)
    board.recordPromptRead(id, 2000)
    board.recordEnd(id, decisions.targetBoard.TargetResult.served, this.clock.now())
    chosen.release()
  }

  #createGateway (index: number, coldStart: decisions.agreementTypes.ColdStart): Gateway {
    const { clock } = this
    const board = new decisions.targetBoard.TargetBoard()
    const limits = new decisions.targetLimits.TargetLimits(() => {})
    const coldTargets = new decisions.coldTargets.ColdTargets(() => coldStart, () => {})
    const known = (): number[] => this.#gateways.map((_gateway, other) => other).filter((other) => other === index || !this.#isSeenDead(other))
    const permits = new targetPermits.TargetPermits({
      clock,
      limits,
      coldTargets,
      random: this.#random,
      view: {
        gatewayCount: () => known().length,
        isIntroduced: () => true,
        knownGatewayCount: () => this.#gateways.length,
        reachableShare: () => known().length / this.#gateways.length,
        keeperOf: (target) => {
          const [first] = decisions.hashing.rendezvousOrder(known().map(String), target, (name) => name)
          return first === String(index) ? undefined : first
        }
      },
      requestPermit: async (address, request) => {
        const other = Number(address)
        const isReached = !this.diedAt.has(other) && !this.unreachable.has(other) && !this.unreachable.has(index)
        await clock.sleep(isReached ? CALL_MS : CALL_TIMEOUT_MS)
        if (!isReached) throw new Error('no answer')
        return this.#gateways[other].permits.answer(request)
      },
      onOutcome: () => {}
    })
    const slots = new connectionSlots.ConnectionSlots(() => Infinity)
    const chooser = new targetChoosers.TargetChooser({
      clock,
      board,
      permits,
      coldTargets,
      targetLimits: limits,
      logger: runtime.logging.createLogger('silent'),
      slots,
      roomQueue: new roomQueues.RoomQueue({ clock, board, room: new decisions.serviceRoom.ServiceRoom(), slots, random: new decisions.random.SeededRandom(index + 1), onFull: () => {} }),
      leavingAdmission: new decisions.leavingAdmission.LeavingAdmission(),
      targetRests: new decisions.targetRests.TargetRests(),
      availabilityZone: 'zone-a',
      random: new decisions.random.SeededRandom(index + 1),
      announce: () => {},
      onChosen: () => {}
    })
    return { board, coldTargets, permits, chooser }
  }

  #isSeenDead (index: number): boolean {
    const diedAt = this.diedAt.get(index)
    return diedAt !== undefined && this.clock.now() - diedAt > SUSPECT_AFTER_MS + this.#gateways.length * SUSPECT_AFTER_PER_GATEWAY_MS
  }
}

import * as decisions from '@acaciaweir/decisions'
import type * as routers from '@acaciaweir/routers'
import * as tables from '../src/peer-table.js'

const HEARTBEAT_INTERVAL_MS = 300
const HEARTBEATS_PER_ROUND = 2
const ESTIMATE_INTERVAL_MS = 50
const SAMPLE_INTERVAL_MS = 20
const WARM_UP_MS = 3000
const READ_TOKENS_PER_MS = 112
const STEP_MS = 3.41
const STEP_MS_PER_REQUEST = 0.097
const STEPS_PER_EVENT = 10
const COPY_SAVING = 0.75
const ZONES = ['a', 'b', 'c']

/** Mean time of a request in a slot of a busy engine. */
const MEAN_SERVICE_MS = 900

/** Kinds of requests: their share, the lengths of shared and own prompt parts in tokens, events, sessions, and objective of the first event. */
const KINDS = [
  { perSecond: 97.9, common: 512, session: 4870, own: 6610, events: 38, sessions: 704, objectiveMs: 1219 },
  { perSecond: 143, common: 119, session: 79, own: 628, events: 29, sessions: 596, objectiveMs: 258 },
  { perSecond: 225, common: 341, session: 227, own: 1800, events: 2, sessions: 2431, objectiveMs: 410 }
]

type Kind = typeof KINDS[number]

/** A request at an engine. */
interface Work { kind: Kind, session: string, placement: decisions.placement.PlacementRequest, arrivedAt: number, gateway: Gateway, readTokens: number }

export interface ReplayOptions {
  seed: number
  gateways: number
  targets: number
  slots: number
  /** Requests in service over all slots, if none waits. */
  load: number
  durationMs: number
  /** Factor of the load between the first and the second third of the time. */
  burst?: number
  /** Speed of every fourth target. */
  slowSpeed?: number
  /** Share of the requests that one gateway gets beside its part. */
  busyGatewayShare?: number
  /** Share of the requests of the last kind that belong to one session. */
  hotSessionShare?: number
}

export interface ReplayResult {
  requests: number
  /** Share of the time in which a target has more requests than slots while a quarter of the targets use less than half of theirs. */
  overrunWhileIdle: number
  longestQueue: number
  firstEventP99: number
  /** Share of requests whose first event comes after their objective. */
  late: number
  /** Share of requests that wait for a slot for over half of their objective. */
  waitedHalf: number
  /** Share of requests that go to another target than the last one of their session. */
  moves: number
}

interface Gateway { index: number, board: decisions.targetBoard.TargetBoard, table: tables.PeerTable, address: string, random: decisions.random.RandomSource, next: number, estimatedAt: number, sequence: number }

interface Engine { id: string, speed: number, running: number, queue: Array<() => void>, readUntil: number, sessions: Set<string> }

/** Plays gateways that know each other's requests only from heartbeats, and engines that serve them, in virtual time. */
export function replay (options: ReplayOptions): ReplayResult {
  const { gateways: gatewayCount, targets, slots, durationMs } = options
  const random = new decisions.random.SeededRandom(options.seed)
  const uniform = (): number => (random.integer(1 << 24) + 1) / (1 << 24)
  const events = new EventQueue()
  const engines = new Map<string, Engine>()
  for (let index = 0; index < targets; index++) {
    const id = `i-${(index * 7919 + options.seed).toString(16)}`
    engines.set(id, { id, speed: index % 4 === 3 ? options.slowSpeed ?? 1 : 1, running: 0, queue: [], readUntil: 0, sessions: new Set() })
  }
  const entries = [...engines.keys()].map((id, index) => ({ id, service: 's', address: `10.1.0.${index}:1`, availabilityZone: ZONES[index % 3], slots, leaving: false }))
  const gateways: Gateway[] = Array.from({ length: gatewayCount }, (_value, index) => {
    const board = new decisions.targetBoard.TargetBoard()
    board.replaceEntries(entries)
    const address = `10.0.0.${index}:1`
    return { index, board, table: new tables.PeerTable(address), address, random: new decisions.random.SeededRandom(options.seed * 1000 + index), next: index + 1, estimatedAt: -Infinity, sequence: 0 }
  })
  for (const gateway of gateways) {
    for (const other of gateways) gateway.table.addAddress(other.address, 0)
  }

  const send = (from: Gateway, to: Gateway, asksForAnswer: boolean, now: number): void => {
    from.sequence += 1
    const work = Object.entries(from.board.ownWork()).map(([id, { requests, unreadTokens }]) => ({ id, requests, unreadTokens }))
    const sender = { host: from.address, incarnation: from.address, peerAddress: from.address, availabilityZone: ZONES[from.index % 3], leaving: false, ready: true }
    const message = { sender, heard: [], work, freeTokens: {}, sequence: from.sequence } as unknown as routers.gatewayMessages.GatewayHeartbeat
    events.at(now + 1, (at) => {
      to.table.recordHeartbeat(message, at)
      if (at - to.estimatedAt >= ESTIMATE_INTERVAL_MS) {
        to.estimatedAt = at
        to.board.estimateOtherRoutersWork(to.table.workReports(at))
      }
      if (asksForAnswer) send(to, from, false, at)
    })
  }
  const beat = (gateway: Gateway, now: number): void => {
    const others = gateways.filter((other) => other !== gateway)
    const round = others.length <= decisions.fleetSize.MAXIMUM_SMALL_FLEET_SIZE ? others : Array.from({ length: HEARTBEATS_PER_ROUND }, () => others[gateway.next++ % others.length])
    for (const other of round) send(gateway, other, true, now)
    events.at(now + HEARTBEAT_INTERVAL_MS, (at) => { beat(gateway, at) })
  }
  for (const gateway of gateways) events.at(uniform() * HEARTBEAT_INTERVAL_MS, (at) => { beat(gateway, at) })

  const firstEvents: number[] = []
  const lastTargets = new Map<string, string>()
  const result = { requests: 0, late: 0, waitedHalf: 0, longestQueue: 0, moves: 0, samples: 0, overrunSamples: 0 }

  const serve = (engine: Engine, work: Work, copies: boolean, now: number): void => {
    const { kind, session, gateway, placement } = work
    engine.running += 1
    const isCached = engine.sessions.has(session)
    const sharedTokens = kind.common + kind.session
    const saved = isCached ? sharedTokens : copies ? sharedTokens * COPY_SAVING : 0
    if (now > WARM_UP_MS) {
      result.waitedHalf += now - work.arrivedAt > kind.objectiveMs / 2 ? 1 : 0
      result.moves += lastTargets.has(session) && lastTargets.get(session) !== engine.id ? 1 : 0
    }
    lastTargets.set(session, engine.id)
    engine.sessions.add(session)
    engine.readUntil = Math.max(now, engine.readUntil) + decisions.placement.promptReadingCost(placement.promptTokens - saved) / READ_TOKENS_PER_MS / engine.speed
    const eventMs = STEPS_PER_EVENT * (STEP_MS + STEP_MS_PER_REQUEST * engine.running) / engine.speed
    const firstAt = engine.readUntil + eventMs
    events.at(firstAt, () => {
      gateway.board.recordPromptRead(engine.id, work.readTokens)
      if (now <= WARM_UP_MS) return
      firstEvents.push(firstAt - work.arrivedAt)
      result.late += firstAt - work.arrivedAt > kind.objectiveMs ? 1 : 0
    })
    events.at(firstAt + eventMs * (kind.events - 1), (at) => {
      gateway.board.recordTimes('s', firstAt - work.arrivedAt, at - work.arrivedAt)
      gateway.board.recordEnd(engine.id, 'served', at)
      engine.running -= 1
      engine.queue.shift()?.()
    })
  }
  const arrive = (now: number): void => {
    const kind = pick(KINDS, uniform())
    const isHot = kind === KINDS[2] && uniform() < (options.hotSessionShare ?? 0)
    const session = isHot ? 'hot' : `${KINDS.indexOf(kind)}-${random.integer(kind.sessions)}`
    const gateway = uniform() < (options.busyGatewayShare ?? 0) ? gateways[0] : gateways[random.integer(gatewayCount)]
    const promptTokens = Math.round(kind.common + kind.session - Math.log(uniform()) * kind.own)
    const placement = { service: 's', sharedParts: [{ id: `common-${kind.common}`, tokens: kind.common }, { id: session, tokens: kind.session }], promptTokens, availabilityZone: ZONES[gateway.index % 3] }
    const chosen = decisions.placement.chooseTarget(gateway.board, placement, new Set(), now, () => true, gateway.random)
    const engine = chosen === undefined ? undefined : engines.get(chosen.target.entry.id)
    if (engine === undefined) return
    if (now > WARM_UP_MS) result.requests += 1
    const readTokens = decisions.placement.promptReadingCost(promptTokens)
    gateway.board.recordStart(engine.id, readTokens, placement.sharedParts.map(({ id }) => id), now)
    const start = (): void => { serve(engine, { kind, session, placement, arrivedAt: now, gateway, readTokens }, chosen?.copyFrom !== undefined, events.now) }
    if (engine.running < slots) start()
    else engine.queue.push(start)
    result.longestQueue = Math.max(result.longestQueue, now > WARM_UP_MS ? engine.queue.length : 0)
  }
  const perMs = options.load * targets * slots / MEAN_SERVICE_MS
  const nextArrival = (now: number): void => {
    const isBurst = now > WARM_UP_MS + durationMs / 3 && now < WARM_UP_MS + durationMs * 2 / 3
    events.at(now - Math.log(uniform()) / perMs / (isBurst ? options.burst ?? 1 : 1), (at) => {
      nextArrival(at)
      arrive(at)
    })
  }
  nextArrival(0)

  const sample = (now: number): void => {
    if (now > WARM_UP_MS) {
      const loads = [...engines.values()].map((engine) => engine.running + engine.queue.length)
      result.samples += 1
      if (Math.max(...loads) > slots && loads.filter((load) => load < slots / 2).length >= targets / 4) result.overrunSamples += 1
    }
    events.at(now + SAMPLE_INTERVAL_MS, sample)
  }
  sample(0)
  events.runUntil(WARM_UP_MS + durationMs)

  firstEvents.sort((left, right) => left - right)
  return {
    requests: result.requests,
    overrunWhileIdle: result.overrunSamples / result.samples,
    longestQueue: result.longestQueue,
    firstEventP99: firstEvents[Math.floor(firstEvents.length * 0.99)],
    late: result.late / result.requests,
    waitedHalf: result.waitedHalf / result.requests,
    moves: result.moves / result.requests
  }
}

function pick (kinds: readonly Kind[], share: number): Kind {
  let rest = share * kinds.reduce((sum, kind) => sum + kind.perSecond, 0)
  return kinds.find((kind) => (rest -= kind.perSecond) <= 0) ?? kinds[kinds.length - 1]
}

/** Events in virtual time, as a binary heap. */
class EventQueue {
  readonly #heap: Array<{ at: number, run: (at: number) => void }> = []
  now = 0

  at (at: number, run: (at: number) => void): void {
    let index = this.#heap.push({ at, run }) - 1
    while (index > 0 && this.#heap[(index - 1) >> 1].at > this.#heap[index].at) index = this.#swap(index, (index - 1) >> 1)
  }

  runUntil (end: number): void {
    while (this.#heap.length > 0 && this.#heap[0].at <= end) {
      const first = this.#heap[0]
      const last = this.#heap.pop()
      if (last !== undefined && this.#heap.length > 0) this.#sink(last)
      this.now = first.at
      first.run(first.at)
    }
  }

  #sink (item: { at: number, run: (at: number) => void }): void {
    this.#heap[0] = item
    for (let index = 0, child = 1; child < this.#heap.length; child = 2 * index + 1) {
      if (child + 1 < this.#heap.length && this.#heap[child + 1].at < this.#heap[child].at) child += 1
      if (this.#heap[index].at <= this.#heap[child].at) return
      index = this.#swap(index, child)
    }
  }

  #swap (index: number, other: number): number {
    [this.#heap[index], this.#heap[other]] = [this.#heap[other], this.#heap[index]]
    return other
  }
}

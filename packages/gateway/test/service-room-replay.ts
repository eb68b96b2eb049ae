import * as decisions from '@acaciaweir/decisions'

const HEARTBEAT_INTERVAL_MS = 300
const HEARTBEATS_PER_ROUND = 2
const OBJECTIVE_MS = 150
const DEADLINE_MS = 800
const WARM_UP_MS = 2000

/** Callers of an account, their part of the gateways, and the requests a second that they send, `burst` times as many while the burst lasts. */
export interface ReplayAccount { name: string, perSecond: number, gateways: number[], burst?: number, rank?: number }

export interface RoomReplayOptions {
  seed: number
  isFair: boolean
  accounts: ReplayAccount[]
  gateways?: number
  targets?: number
  slots?: number
  queue?: number
  meanMs?: number
  /** Share of the refused callers who come back once, after the time that they were given. */
  returning?: number
  durationMs?: number
  createRoom?: () => decisions.serviceRoom.ServiceRoom
}

export interface AccountResult {
  requests: number
  inTime: number
  /** Requests that end unserved. */
  refused: number
  /** Longest time until a refusal. */
  slowestRefusalMs: number
  heldMs: number
  /** Requests of the longest tenth, and those of them in time. */
  large: number
  largeInTime: number
  shareInTime: number
}

interface Work { account: ReplayAccount, arrivedAt: number, sizeMs: number, isReturn: boolean }
interface Target { running: number, queue: Array<() => void> }
interface Gateway { room: decisions.serviceRoom.ServiceRoom, own: number, others: number, reports: Map<number, { at: number, use: decisions.serviceRoom.ServiceUse | undefined, own: number }>, waiting: Array<() => void> }

/** Plays gateways in virtual time that send to plain targets with a first-in-first-out queue, and know of each other by heartbeats. */
export function replayRoom (options: RoomReplayOptions): Map<string, AccountResult> {
  const { gateways: gatewayCount = 16, targets: targetCount = 3, slots = 6, queue = 24, meanMs = 30, durationMs = 6000 } = options
  const random = new decisions.random.SeededRandom(options.seed)
  const uniform = (): number => (random.integer(1 << 24) + 1) / (1 << 24)
  const events: Array<{ at: number, run: () => void }> = []
  let now = 0
  const at = (time: number, run: () => void): void => {
    const index = events.findIndex((event) => event.at > time)
    events.splice(index < 0 ? events.length : index, 0, { at: time, run })
  }
  const targets: Target[] = Array.from({ length: targetCount }, () => ({ running: 0, queue: [] }))
  const gateways: Gateway[] = Array.from({ length: gatewayCount }, () => ({ room: options.createRoom?.() ?? new decisions.serviceRoom.ServiceRoom(), own: 0, others: 0, reports: new Map(), waiting: [] }))
  const results = new Map<string, AccountResult>(options.accounts.map(({ name }) => [name, { requests: 0, inTime: 0, refused: 0, slowestRefusalMs: 0, heldMs: 0, large: 0, largeInTime: 0, shareInTime: 0 }]))
  const isLarge = (work: Work): boolean => work.sizeMs > meanMs * Math.LN10 * 0.75
  const isCounted = (work: Work): boolean => work.arrivedAt > WARM_UP_MS && work.arrivedAt < WARM_UP_MS + durationMs
  const loadOf = (gateway: Gateway): decisions.serviceRoom.ServiceLoad => {
    const others = [...gateway.reports.values()].reduce((sum, report) => sum + report.own, 0)
    return { slots: slots * targetCount, requests: gateway.own + others }
  }
  const finish = (work: Work, isServed: boolean): void => {
    const result = results.get(work.account.name)
    if (result === undefined || !isCounted(work)) return
    const inTime = isServed && now - work.arrivedAt <= OBJECTIVE_MS
    if (inTime) result.inTime += 1
    if (isLarge(work) && inTime) result.largeInTime += 1
    if (!isServed) result.refused += 1
  }
  const refuse = (gateway: Gateway, work: Work, retryAfterMs: number, receivedAt: number): void => {
    const result = results.get(work.account.name)
    if (result !== undefined) result.slowestRefusalMs = Math.max(result.slowestRefusalMs, now - receivedAt)
    if (work.isReturn || uniform() > (options.returning ?? 0)) finish(work, false)
    else at(now + Math.min(retryAfterMs, DEADLINE_MS / 3), () => { receive(gateway, { ...work, isReturn: true }) })
  }
  const send = (gateway: Gateway, work: Work, receivedAt: number): void => {
    const target = targets.reduce((best, other) => other.running + other.queue.length < best.running + best.queue.length ? other : best)
    const load = loadOf(gateway)
    if (target.running >= slots && target.queue.length >= queue) {
      refuse(gateway, work, 400, receivedAt)
      return
    }
    gateway.own += 1
    const end = gateway.room.start('s', work.account.name, work.account.rank ?? 0)
    const sentAt = now
    const run = (): void => {
      target.running += 1
      at(now + work.sizeMs, () => {
        target.running -= 1
        gateway.own -= 1
        end()
        gateway.room.recordTime('s', now - sentAt, load)
        finish(work, true)
        target.queue.shift()?.()
        gateway.waiting[0]?.()
      })
    }
    if (target.running < slots) run()
    else target.queue.push(run)
  }
  const receive = (gateway: Gateway, work: Work): void => {
    const receivedAt = now
    let stopWaiting: (() => void) | undefined
    let endAt = Infinity
    const leave = (): void => {
      stopWaiting?.()
      gateway.waiting = gateway.waiting.filter((other) => other !== ask)
    }
    let isDone = false
    const ask = (): void => {
      if (isDone) return
      stopWaiting?.()
      stopWaiting = undefined
      const request = { service: 's', account: work.account.name, rank: work.account.rank ?? 0, objectiveMs: OBJECTIVE_MS, timeLeftMs: work.arrivedAt + DEADLINE_MS - now, servingMs: meanMs }
      gateway.room.setReports([...gateway.reports.values()].map((report) => ({ ageMs: now - report.at, uses: report.use === undefined ? [] : [report.use] })))
      const verdict: decisions.serviceRoom.RoomVerdict = options.isFair ? gateway.room.judge(request, loadOf(gateway), now, uniform()) : { kind: 'go' }
      if (verdict.kind === 'wait' && endAt === Infinity) {
        endAt = now + verdict.maximumMs
        at(endAt, ask)
        gateway.waiting.push(ask)
      }
      if (verdict.kind === 'wait' && now < endAt) {
        stopWaiting = gateway.room.wait('s', work.account.name, work.account.rank ?? 0)
        return
      }
      isDone = true
      leave()
      const result = results.get(work.account.name)
      if (result !== undefined) result.heldMs += now - receivedAt
      if (verdict.kind === 'go') send(gateway, work, receivedAt)
      else refuse(gateway, work, verdict.grounds.retryAfterMs, receivedAt)
    }
    ask()
  }
  const tell = (from: number, to: number): void => {
    gateways[to].reports.set(from, { at: now, use: gateways[from].room.report('s'), own: gateways[from].own })
  }
  const beat = (index: number, next: number): void => {
    const others = [...gateways.keys()].filter((other) => other !== index)
    const round = others.length < decisions.fleetSize.MAXIMUM_SMALL_FLEET_SIZE ? others : Array.from({ length: HEARTBEATS_PER_ROUND }, (_value, offset) => others[(next + offset) % others.length])
    for (const other of round) {
      tell(index, other)
      tell(other, index)
    }
    at(now + HEARTBEAT_INTERVAL_MS, () => { beat(index, next + HEARTBEATS_PER_ROUND) })
  }
  for (const index of gateways.keys()) at(uniform() * HEARTBEAT_INTERVAL_MS, () => { beat(index, index) })
  const arrive = (account: ReplayAccount): void => {
    const isBurst = now > WARM_UP_MS
    at(now - Math.log(uniform()) * 1000 / account.perSecond / (isBurst ? account.burst ?? 1 : 1), () => {
      arrive(account)
      const work = { account, arrivedAt: now, sizeMs: -Math.log(uniform()) * meanMs * 0.5 + meanMs * 0.5, isReturn: false }
      const result = results.get(account.name)
      if (result !== undefined && isCounted(work)) {
        result.requests += 1
        result.large += isLarge(work) ? 1 : 0
      }
      receive(gateways[account.gateways[random.integer(account.gateways.length)]], work)
    })
  }
  for (const account of options.accounts) arrive(account)
  while (events.length > 0 && now < WARM_UP_MS + durationMs + DEADLINE_MS) {
    const event = events.shift()
    if (event === undefined) break
    now = event.at
    event.run()
  }
  for (const result of results.values()) result.shareInTime = result.inTime / result.requests
  return results
}

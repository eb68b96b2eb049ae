// A fleet learns of changes in the store by the few routers that watch it and by gossip. Guards against changes that reach the fleet late, or
// never, because those routers are cut off, have ended or hang, and against calls to the store that grow with the fleet.
import * as chai from 'chai'
import * as random from '../src/random.js'
import * as watchDuty from '../src/watch-duty.js'

const { expect } = chai

/** Interval of the heartbeats, and the routers that get one each time and answer it. */
const ROUND_MS = 300
const HEARTBEATS_PER_ROUND = 2

/** Longest time for which the store lets a watch wait, and the pause after a failed call, in milliseconds. */
const WATCH_WAIT_MS = 2000
const RETRY_MS = 1000

/** Time in which a change must be in force at routers that nothing impairs, in milliseconds, and the extension where the store fails for some. */
const CHANGE_BOUND_MS = 4000
const STORE_IMPAIRMENT_EXTENSION_MS = 8000

/** Time in which keys that are withdrawn must be out of force also while the store refuses some routers, in milliseconds. */
const KEY_REMOVAL_BOUND_MS = 3000

const STEP_MS = 50

/** Times of the change, in milliseconds: at several points of the watchers' waits. */
const CHANGE_TIMES_MS = [6000, 6500, 7000, 7500]

interface SimulatedRouter {
  watcher: watchDuty.StoreWatcher
  duty: watchDuty.WatchDuty
  version: number
  knownAt: number
  nextRoundAt: number
  nextPeer: number
  /** When the watch in progress ends, or the next one may start. Undefined if none is in progress. */
  watchEndsAt: number | undefined
  reachesStore: boolean
  isRunning: boolean
}

/** Plays a fleet that exchanges heartbeats, and a store that changes once. */
class FleetReplay {
  readonly routers: SimulatedRouter[]
  readonly #random = new random.SeededRandom(5)
  #now = 0
  #storeVersion = 1
  storeCalls = 0

  constructor (size: number, zones: number) {
    this.routers = Array.from({ length: size }, (_value, index) => ({
      watcher: { name: `host-${index}`, availabilityZone: `zone-${index % zones}` },
      duty: new watchDuty.WatchDuty(),
      version: 1,
      knownAt: 0,
      nextRoundAt: this.#random.integer(ROUND_MS),
      nextPeer: this.#random.integer(size),
      watchEndsAt: undefined,
      reachesStore: true,
      isRunning: true
    }))
  }

  watchers (): SimulatedRouter[] {
    return this.routers.filter((router) => this.#rank(router) < watchDuty.WATCHERS)
  }

  byRank (): SimulatedRouter[] {
    return [...this.routers].sort((left, right) => this.#rank(left) - this.#rank(right))
  }

  changeStore (): void {
    this.#storeVersion += 1
  }

  play (milliseconds: number): void {
    for (const end = this.#now + milliseconds; this.#now < end; this.#now += STEP_MS) {
      for (const router of this.routers.filter(({ isRunning }) => isRunning)) {
        this.#watch(router)
        if (router.nextRoundAt <= this.#now) this.#sendHeartbeats(router)
      }
    }
  }

  /** Plays until all running routers know the newest version. Returns the time that took, at most 30 s. */
  playUntilKnown (): number {
    const start = this.#now
    while (this.#now - start < 30_000 && this.routers.some(({ isRunning, version }) => isRunning && version < this.#storeVersion)) this.play(STEP_MS)
    return this.#now - start
  }

  /** A router keeps its rank while others are only silent; the failure detector takes longer than what is tested here. */
  #rank (router: SimulatedRouter): number {
    return watchDuty.watchRank(router.watcher, this.routers.filter((other) => other !== router).map(({ watcher }) => watcher))
  }

  readonly #ranks = new Map<SimulatedRouter, number>()

  #watch (router: SimulatedRouter): void {
    if (router.watchEndsAt !== undefined && router.reachesStore && router.version < this.#storeVersion) router.watchEndsAt = Math.min(router.watchEndsAt, this.#now)
    if (router.watchEndsAt !== undefined && router.watchEndsAt > this.#now) return
    if (router.watchEndsAt !== undefined && router.reachesStore) {
      router.version = this.#storeVersion
      router.knownAt = this.#now
    }
    router.watchEndsAt = undefined
    const rank = this.#ranks.get(router) ?? this.#rank(router)
    this.#ranks.set(router, rank)
    if (!router.duty.isDue(rank, this.#now - router.knownAt, this.#now)) return
    this.storeCalls += 1
    router.watchEndsAt = this.#now + (router.reachesStore ? WATCH_WAIT_MS : RETRY_MS)
  }

  #sendHeartbeats (router: SimulatedRouter): void {
    router.nextRoundAt = this.#now + ROUND_MS
    for (let count = 0; count < HEARTBEATS_PER_ROUND; count++) {
      router.nextPeer = (router.nextPeer + 1) % this.routers.length
      const peer = this.routers[router.nextPeer]
      if (peer === router || !peer.isRunning) continue
      tell(router, peer)
      tell(peer, router)
    }
  }
}

/** Passes on what a router knows, and how old that is. */
function tell (from: SimulatedRouter, to: SimulatedRouter): void {
  if (from.version < to.version) return
  to.knownAt = from.version > to.version ? from.knownAt : Math.max(to.knownAt, from.knownAt)
  to.version = from.version
}

const sizes: Array<{ size: number, zones: number }> = [{ size: 19, zones: 5 }, { size: 70, zones: 3 }, { size: 195, zones: 5 }, { size: 400, zones: 6 }]

const troubles: Array<{ name: string, impair: (replay: FleetReplay) => void, boundMs: number }> = [
  { name: 'nothing is impaired', impair: () => {}, boundMs: CHANGE_BOUND_MS },
  { name: 'two watchers end', impair: (replay) => { for (const router of replay.watchers().slice(0, 2)) router.isRunning = false }, boundMs: CHANGE_BOUND_MS },
  { name: 'one watcher hangs just after it read the change', impair: (replay) => { Object.assign(replay.watchers()[0], { isRunning: false, version: 2 }) }, boundMs: CHANGE_BOUND_MS },
  { name: 'the store refuses the three routers that are first in order', impair: (replay) => { for (const router of replay.byRank().slice(0, 3)) router.reachesStore = false }, boundMs: KEY_REMOVAL_BOUND_MS },
  { name: 'the store refuses half of the fleet', impair: (replay) => { for (const [index, router] of replay.routers.entries()) router.reachesStore = index % 2 === 0 }, boundMs: CHANGE_BOUND_MS + STORE_IMPAIRMENT_EXTENSION_MS },
  { name: 'all watchers are cut off from the store', impair: (replay) => { for (const router of replay.watchers()) router.reachesStore = false }, boundMs: CHANGE_BOUND_MS + STORE_IMPAIRMENT_EXTENSION_MS },
  { name: 'all watchers end at once', impair: (replay) => { for (const router of replay.watchers()) router.isRunning = false }, boundMs: CHANGE_BOUND_MS }
]

describe('store watch duty in a large fleet', () => {
  for (const { size, zones } of sizes) {
    for (const { name, impair, boundMs } of troubles) {
      it(`lets ${size} routers know a change in time if ${name}`, () => {
        const delaysMs = CHANGE_TIMES_MS.map((changeAt) => {
          const replay = new FleetReplay(size, zones)
          replay.play(changeAt)
          impair(replay)
          replay.changeStore()
          return replay.playUntilKnown()
        })
        expect(Math.max(...delaysMs)).to.be.at.most(boundMs)
      })
    }

    it(`costs as many store calls at ${size} routers as at any other size`, () => {
      const replay = new FleetReplay(size, zones)
      replay.play(4000)
      replay.storeCalls = 0
      replay.play(20_000)
      expect(replay.storeCalls).to.be.at.most(watchDuty.WATCHERS * (20_000 / WATCH_WAIT_MS + 1))
    })

    it(`makes a few of ${size} routers call a store that is away, and the watchers alone once it is back`, () => {
      const replay = new FleetReplay(size, zones)
      replay.play(4000)
      for (const router of replay.routers) router.reachesStore = false
      replay.storeCalls = 0
      replay.play(8000)
      expect(replay.storeCalls).to.be.at.most(100)
      for (const router of replay.routers) router.reachesStore = true
      replay.play(8000)
      replay.storeCalls = 0
      replay.play(10_000)
      expect(replay.storeCalls).to.be.at.most(watchDuty.WATCHERS * (10_000 / WATCH_WAIT_MS + 1))
    })
  }

  it('falls to routers of all zones', () => {
    const replay = new FleetReplay(70, 5)
    expect(new Set(replay.watchers().map(({ watcher }) => watcher.availabilityZone)).size).to.equal(5)
  })
})

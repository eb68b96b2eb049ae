// Who reads the operators' entries for evacuated zones, and who is told of them. Guards against store calls of gateways that others tell, or
// whose operators evacuate no zones; against a gateway that never reads an entry because nobody tells it; and against storms of heartbeats.
import * as decisions from '@acaciaweir/decisions'
import * as platform from '@acaciaweir/platform'
import * as runtime from '@acaciaweir/runtime'
import * as chai from 'chai'
import * as evacuationWatches from '../src/evacuation-watch.js'
import * as virtualClocks from './virtual-clock.js'

const { expect } = chai

/** Revision and entries that the store lists. */
const LISTED = { revision: 7, zones: ['zone-b'] }

/** A store that lists one evacuated zone, whose watches end without changes, and that records its calls. */
class RecordingStore extends platform.objectStore.ObjectStore {
  readonly calls: string[] = []
  readonly #clock: decisions.clock.Clock

  constructor (clock: decisions.clock.Clock) {
    super()
    this.#clock = clock
  }

  override async list (): Promise<platform.objectStore.StoreOutcome<platform.objectStore.ObjectList>> {
    this.learnEpoch(platform.objectStore.FIRST_EPOCH)
    this.calls.push(`${this.#clock.now()} list`)
    return { status: 'done', result: { revision: LISTED.revision, objects: LISTED.zones.map((name) => ({ name, revision: 3, value: undefined })) } }
  }

  override async watch (_kind: string, revision: number, waitMs: number): Promise<platform.objectStore.StoreOutcome<platform.objectStore.ObjectEvents>> {
    this.calls.push(`${this.#clock.now()} watch`)
    await this.#clock.sleep(waitMs)
    return { status: 'done', result: { revision, events: [] } }
  }

  override async read (): Promise<never> { throw new Error('not used') }
  override async create (): Promise<never> { throw new Error('not used') }
  override async replace (): Promise<never> { throw new Error('not used') }
  override async remove (): Promise<never> { throw new Error('not used') }
}

interface Scene {
  clock: virtualClocks.VirtualClock
  store: RecordingStore
  evacuations: decisions.zoneEvacuations.ZoneEvacuations
  watch: evacuationWatches.EvacuationWatch
  announcements: () => number
}

function createScene (hasDuty: boolean, { evacuateMs }: { evacuateMs: number | undefined } = { evacuateMs: 5000 }): Scene {
  const clock = new virtualClocks.VirtualClock()
  const store = new RecordingStore(clock)
  const evacuations = new decisions.zoneEvacuations.ZoneEvacuations()
  let announcements = 0
  const watch = new evacuationWatches.EvacuationWatch({ store, clock, evacuations, evacuateMs, logger: runtime.logging.createLogger('silent'), pauseMs: () => hasDuty ? 0 : 300, announce: () => { announcements += 1 } })
  return { clock, store, evacuations, watch, announcements: () => announcements }
}

describe('the watch of evacuated zones', () => {
  const cases: Array<{ name: string, hasDuty: boolean, bound?: { evacuateMs: number | undefined }, isTold?: boolean, calls: string[], evacuated: string[] }> = [
    { name: 'lists and watches where this gateway has the duty', hasDuty: true, calls: ['0 list', '0 watch', '4000 watch', '8000 watch'], evacuated: ['zone-b'] },
    { name: 'calls nothing where another gateway has told this one', hasDuty: false, isTold: true, calls: [], evacuated: ['zone-c'] },
    { name: 'lists once where no gateway tells this one', hasDuty: false, calls: ['3300 list'], evacuated: ['zone-b'] },
    { name: 'watches for as long as a short bound allows', hasDuty: true, bound: { evacuateMs: 4000 }, calls: ['0 list', '0 watch', '3000 watch', '6000 watch', '9000 watch'], evacuated: ['zone-b'] },
    { name: 'calls nothing where operators evacuate no zones', hasDuty: true, bound: { evacuateMs: undefined }, calls: [], evacuated: [] }
  ]
  for (const { name, hasDuty, bound, isTold = false, calls, evacuated } of cases) {
    it(name, async () => {
      const { clock, evacuations, store, watch } = createScene(hasDuty, bound)
      watch.start()
      await clock.runUntil(200)
      if (isTold) watch.applyFromPeer(['zone-c'], { epoch: 1, revision: 5 })
      await clock.runUntil(9000)
      expect(store.calls).to.deep.equal(calls)
      expect(evacuations.zones).to.deep.equal(evacuated)
      watch.stop()
    })
  }

  it('announces what it reads, and not what another gateway told', async () => {
    const { announcements, clock, watch } = createScene(true)
    watch.start()
    await clock.runUntil(100)
    watch.applyFromPeer(['zone-c'], { epoch: 1, revision: 9 })
    expect(announcements()).to.equal(1)
    watch.stop()
  })

  it('uses a zone again some time after a gateway told of a restored store that lacks it', async () => {
    const { clock, evacuations, watch } = createScene(false)
    watch.applyFromPeer(['zone-c'], { epoch: 1, revision: 9 })
    watch.applyFromPeer([], { epoch: 2, revision: 4 })
    await clock.runUntil(4900)
    expect(evacuations.zones).to.deep.equal(['zone-c'])
    await clock.runUntil(5100)
    expect(evacuations.zones).to.deep.equal([])
  })
})

// Guards against requests that are started for callers that have left, or so late that their callers no longer wait.
import * as chai from 'chai'
import * as admissionQueues from '../src/admission-queue.js'
import * as clocks from '../src/system-clock.js'

const { expect } = chai

/** A request that is queued, and whose caller may have left. */
interface QueuedRequest {
  name: string
  hasLeft?: boolean
  /** Time for which the start of the request keeps the event loop busy, in milliseconds. */
  busyMs?: number
  /** Its `start`, `reject` or `drop` throws. */
  throws?: boolean
}

const cases: Array<{ name: string, requests: QueuedRequest[], events: string[] }> = [
  { name: 'starts a request', requests: [{ name: 'one' }], events: ['start one'] },
  { name: 'starts the newest request first', requests: [{ name: 'one' }, { name: 'two' }, { name: 'three' }], events: ['start three', 'start two', 'start one'] },
  { name: 'drops a request whose caller has left', requests: [{ name: 'one' }, { name: 'two', hasLeft: true }], events: ['drop two', 'start one'] },
  { name: 'rejects a request that has waited too long', requests: [{ name: 'one' }, { name: 'two', busyMs: 300 }], events: ['start two', 'reject one'] },
  { name: 'starts the others where the start of a request throws', requests: [{ name: 'one' }, { name: 'two', throws: true }], events: ['start two', 'fail two', 'start one'] },
  { name: 'starts the others where a request whose caller has left cannot be dropped', requests: [{ name: 'one' }, { name: 'two', hasLeft: true, throws: true }], events: ['drop two', 'fail two', 'start one'] },
  { name: 'goes on where a request that has waited too long cannot be rejected', requests: [{ name: 'one', throws: true }, { name: 'two', busyMs: 300 }], events: ['start two', 'reject one', 'fail one'] }
]

describe('an admission queue', () => {
  for (const { name, requests, events } of cases) {
    it(name, async () => {
      const queue = new admissionQueues.AdmissionQueue({ clock: new clocks.SystemClock(), dropWaitingConnections: () => {} })
      const seen: string[] = []
      for (const request of requests) {
        const record = (step: string): void => {
          seen.push(`${step} ${request.name}`)
          if (request.throws === true) throw new Error(`${step} failed`)
        }
        queue.push({
          hasLeft: () => request.hasLeft === true,
          start: () => {
            record('start')
            block(request.busyMs ?? 0)
          },
          reject: () => { record('reject') },
          drop: () => { record('drop') },
          fail: () => { seen.push(`fail ${request.name}`) }
        })
      }
      expect(seen).to.deep.equal([])
      while (queue.length > 0) await nextIteration()
      expect(seen).to.deep.equal(events)
    })
  }

  const backlogs: Array<{ name: string, comesWithoutGap: boolean, leastDrops: number, mostDrops: number }> = [
    { name: 'drops waiting connections each time that they have come for 0.6 s without a gap', comesWithoutGap: true, leastDrops: 3, mostDrops: 4 },
    { name: 'drops none if all are accepted now and then', comesWithoutGap: false, leastDrops: 0, mostDrops: 0 }
  ]
  for (const { name, comesWithoutGap, leastDrops, mostDrops } of backlogs) {
    it(name, async () => {
      let drops = 0
      const queue = new admissionQueues.AdmissionQueue({ clock: new clocks.SystemClock(), dropWaitingConnections: () => { drops += 1 } })
      const startedAt = performance.now()
      for (let iteration = 0; performance.now() - startedAt < 2500; iteration++) {
        if (comesWithoutGap || iteration % 100 < 50) queue.recordConnection()
        await nextIteration()
      }
      expect(drops).to.be.within(leastDrops, mostDrops)
    })
  }
})

async function nextIteration (): Promise<void> {
  await new Promise<void>((resolve) => { setImmediate(resolve) })
}

function block (milliseconds: number): void {
  const end = performance.now() + milliseconds
  while (performance.now() < end);
}

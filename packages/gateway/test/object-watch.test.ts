import * as adapter from '@acaciaweir/platform-adapter'
import type * as platform from '@acaciaweir/platform'
import * as runtime from '@acaciaweir/runtime'
import * as standIns from '@acaciaweir/stand-ins'
import * as chai from 'chai'
import * as fleets from './fleet.js'
import * as watches from '../src/object-watch.js'

const { expect } = chai

const KIND = 'things'

/** Collects the names of all objects that it learns of. */
class CollectingWatch extends watches.ObjectWatch {
  readonly names: string[] = []

  protected override useList (objects: platform.objectStore.StoreObject[]): void {
    this.names.push(...objects.map((object) => object.name))
  }

  protected override useEvents (events: platform.objectStore.ObjectEvent[]): void {
    this.names.push(...events.map((event) => event.object.name))
  }
}

describe('watching the store', () => {
  const cases: Array<{ name: string, changes: number, spacingMs: number, mostCalls: number }> = [
    { name: 'takes changes that come together with few calls', changes: 40, spacingMs: 5, mostCalls: 5 },
    { name: 'takes one change by itself', changes: 1, spacingMs: 0, mostCalls: 3 }
  ]
  for (const { name, changes, spacingMs, mostCalls } of cases) {
    it(name, async () => {
      const store = new standIns.publishedStore.PublishedStore()
      const logger = runtime.logging.createLogger('silent')
      const client = new adapter.storeClient.StoreClient({ address: await store.listen(), timeoutMs: 500, logger })
      const watch = new CollectingWatch({ kind: KIND, store: client, clock: new runtime.systemClock.SystemClock(), logger, pauseMs: () => 0 })
      try {
        watch.start()
        await fleets.eventually(async () => watch.revision > 0)
        for (let count = 0; count < changes; count++) {
          store.put(KIND, `thing-${count}`, { count })
          await new Promise<void>((resolve) => { setTimeout(resolve, spacingMs) })
        }
        await fleets.eventually(async () => watch.names.length === changes)
        expect(new Set(watch.names).size).to.equal(changes)
        expect(store.calls).to.be.at.most(mostCalls)
      } finally {
        watch.stop()
        store.close()
      }
    })
  }
})

// Guards against one store call per change: many targets register or leave at once and several gateways watch them, so the
// calls would overload the store. The watch waits a little after a change, so that one call returns those that follow.
import * as adapter from '@acaciaweir/platform-adapter'
import type * as platform from '@acaciaweir/platform'
import * as runtime from '@acaciaweir/runtime'
import * as standIns from '@acaciaweir/stand-ins'
import * as chai from 'chai'
import * as fleets from './fleet.js'
import * as watches from '../src/object-watch.js'

const { expect } = chai

const KIND = 'things'

/** Collects the names of all listed and changed objects. */
class CollectingWatch extends watches.ObjectWatch {
  readonly names: string[] = []

  protected override applyList (objects: platform.objectStore.StoreObject[]): void {
    this.names.push(...objects.map((object) => object.name))
  }

  protected override applyEvents (events: platform.objectStore.ObjectEvent[]): void {
    this.names.push(...events.map((event) => event.object.name))
  }
}

describe('object watch', () => {
  const cases: Array<{ name: string, changes: number, intervalMs: number, maximumCalls: number }> = [
    { name: 'reads changes in quick succession with few store calls', changes: 40, intervalMs: 5, maximumCalls: 5 },
    { name: 'reads a single change', changes: 1, intervalMs: 0, maximumCalls: 3 }
  ]
  for (const { name, changes, intervalMs, maximumCalls } of cases) {
    it(name, async () => {
      const store = new standIns.storeServer.StoreServer()
      const logger = runtime.logging.createLogger('silent')
      const client = new adapter.storeClient.StoreClient({ address: await store.listen(), timeoutMs: 500, logger })
      const watch = new CollectingWatch({ kind: KIND, store: client, clock: new runtime.systemClock.SystemClock(), logger, pauseMs: () => 0 })
      try {
        watch.start()
        await fleets.eventually(async () => watch.revision > 0)
        for (let count = 0; count < changes; count++) {
          store.putObject(KIND, `thing-${count}`, { count })
          await new Promise<void>((resolve) => { setTimeout(resolve, intervalMs) })
        }
        await fleets.eventually(async () => watch.names.length === changes)
        expect(new Set(watch.names).size).to.equal(changes)
        expect(store.callCount).to.be.at.most(maximumCalls)
      } finally {
        watch.stop()
        store.close()
      }
    })
  }
})

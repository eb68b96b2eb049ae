// Guards against a new agreement from the store that is not announced at once, as the fleet counts from then on.
import type * as decisions from '@acaciaweir/decisions'
import * as runtime from '@acaciaweir/runtime'
import * as chai from 'chai'
import * as configurations from '../src/configuration-watch.js'
import * as stores from './fake-page-store.js'
import * as virtualClocks from './virtual-clock.js'

const { expect } = chai
const { AgreementSource } = configurations

describe('an agreement that comes into force', () => {
  it('is reported with its source, and only if it is newer', () => {
    const reported: Array<[number, configurations.AgreementSource]> = []
    const options = { store: new stores.FakePageStore(), clock: new virtualClocks.VirtualClock(), logger: runtime.logging.createLogger('silent'), pauseMs: () => 0 }
    const watch = new configurations.ConfigurationWatch(options, ({ agreement }, source) => { reported.push([agreement.version, source]) })
    const agreement = (version: number): decisions.agreementTypes.Agreement => ({ version, routes: [], services: [], limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 } })
    watch.applyIfNewer(agreement(4), AgreementSource.store)
    watch.applyIfNewer(agreement(4), AgreementSource.peer)
    watch.applyIfNewer(agreement(7), AgreementSource.peer)
    watch.applyIfNewer(agreement(5), AgreementSource.store)
    expect(reported).to.deep.equal([[4, AgreementSource.store], [7, AgreementSource.peer]])
  })
})

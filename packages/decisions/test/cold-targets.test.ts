// Guards against cold targets that are taken for warm, or warm ones for cold: by an old entry, the word on another run, or what comes back from other routers.
import * as chai from 'chai'
import type * as agreementTypes from '../src/agreement-types.js'
import * as boards from '../src/target-board.js'
import * as cold from '../src/cold-targets.js'
import * as limits from '../src/target-limits.js'
import * as placement from '../src/placement.js'
import * as randoms from '../src/random.js'

const { expect } = chai

const COLD_START = { milliseconds: 4000, perSecond: 16 }

function entry (startedAt: number, coldMs: number | undefined): agreementTypes.TargetEntry {
  return { id: 't', service: 's', address: '10.0.0.1:1', availabilityZone: 'a', slots: 8, leaving: false, startedAt, coldMs }
}

function report (startedAt: number, remainingMs: number, ageMs: number): cold.ColdTargetReport {
  return { target: 't', startedAt, remainingMs, ageMs }
}

describe('cold targets', () => {
  const cases: Array<{ name: string, prepare: (known: cold.ColdTargets) => void, at: number, remainingMs: number }> = [
    { name: 'are cold for as long as their entry says', prepare: (known) => { known.recordEntry(entry(1, 3000), true, 0) }, at: 1000, remainingMs: 2000 },
    { name: 'are not cold again by an entry that is read again', prepare: (known) => { known.recordEntry(entry(1, 3000), true, 0); known.recordEntry(entry(1, 3000), false, 2000) }, at: 2000, remainingMs: 1000 },
    { name: 'become cold again at any moment', prepare: (known) => { known.recordEntry(entry(1, 0), true, 0); known.recordEntry(entry(1, 3000), true, 5000) }, at: 5000, remainingMs: 3000 },
    { name: 'are warm as soon as the entry says so', prepare: (known) => { known.recordEntry(entry(1, 3000), true, 0); known.recordEntry(entry(1, 0), true, 1000) }, at: 1000, remainingMs: 0 },
    { name: 'are cold by their answers', prepare: (known) => { known.recordEntry(entry(1, 0), true, 0); known.recordAnswer(entry(1, 0), 2500, 1000) }, at: 1500, remainingMs: 2000 },
    { name: 'are cold for a whole start if a later run says nothing', prepare: (known) => { known.recordEntry(entry(1, undefined), true, 0); known.recordEntry(entry(2, undefined), true, 1000) }, at: 1000, remainingMs: 4000 },
    { name: 'are not taken for cold when first listed without a word', prepare: (known) => { known.recordEntry(entry(1, undefined), false, 0) }, at: 0, remainingMs: 0 },
    { name: 'are not warm by the late answer of an earlier run', prepare: (known) => { known.recordEntry(entry(2, 3000), true, 0); known.recordAnswer(entry(1, 0), 0, 100) }, at: 1000, remainingMs: 2000 },
    { name: 'are learned from another router', prepare: (known) => { known.recordEntry(entry(1, 0), true, 0); known.merge([report(2, 2500, 100)], 1000) }, at: 1000, remainingMs: 2500 },
    { name: 'do not stay cold by their own word that comes back late', prepare: (known) => { known.recordEntry(entry(1, 3000), true, 0); known.merge([report(1, 2900, 100)], 400) }, at: 400, remainingMs: 2600 },
    { name: 'are warm by the newer word of another router', prepare: (known) => { known.recordEntry(entry(1, 3000), true, 0); known.merge([report(1, 0, 100)], 1500) }, at: 1500, remainingMs: 0 },
    { name: 'are not cold again by an old entry that another router has listed', prepare: (known) => { known.recordEntry(entry(1, 0), true, 0); const other = new cold.ColdTargets(() => COLD_START, () => {}); other.recordEntry(entry(1, 3000), false, 0); known.merge(other.reports(100), 900_000) }, at: 900_000, remainingMs: 0 },
    { name: 'are cold by a changed entry of a run that started earlier by its clock', prepare: (known) => { known.recordEntry(entry(9, 0), true, 0); known.recordEntry(entry(5, 3000), true, 1000) }, at: 1000, remainingMs: 3000 },
    { name: 'are cold by a listed entry of a run that started earlier by its clock', prepare: (known) => { known.recordEntry(entry(9, 0), true, 0); known.recordEntry(entry(5, 3000), false, 1000) }, at: 1000, remainingMs: 3000 },
    { name: 'are cold by another router that knows of a run that started earlier by its clock', prepare: (known) => { known.recordEntry(entry(9, 0), true, 0); known.merge([report(5, 2500, 100)], 1000) }, at: 1000, remainingMs: 2500 },
    { name: 'are not warm by the newer word of another router on another run', prepare: (known) => { known.recordEntry(entry(5, 3000), true, 0); known.merge([report(2, 0, 100)], 1000) }, at: 1000, remainingMs: 2000 },
    { name: 'are not warm by a listed entry that is older than the word of another router', prepare: (known) => { known.recordEntry(entry(1, undefined), false, 0); known.merge([report(1, 3000, 0)], 1000); known.recordEntry(entry(1, 0), false, 1100) }, at: 1100, remainingMs: 2900 },
    { name: 'are not warm by the list of a router that has no word on them', prepare: (known) => { known.recordEntry(entry(1, 4000), true, 0); known.recordEntry(entry(1, 0), false, 700) }, at: 700, remainingMs: 3300 },
    { name: 'are cold by a listed entry whose change was missed', prepare: (known) => { known.recordEntry(entry(1, 0), true, 0); known.recordEntry(entry(1, 3000), false, 60_000) }, at: 60_000, remainingMs: 3000 },
    { name: 'are cold by the answers of a run that started earlier by its clock', prepare: (known) => { known.recordEntry(entry(9, 0), true, 0); known.recordEntry(entry(5, 0), true, 1000); known.recordAnswer(entry(5, 0), 2000, 1100) }, at: 1100, remainingMs: 2000 }
  ]
  for (const { name, prepare, at, remainingMs } of cases) {
    it(name, () => {
      const known = new cold.ColdTargets(() => COLD_START, () => {})
      prepare(known)
      expect(known.remainingMs('t', at)).to.equal(remainingMs)
      expect(known.phaseOf(entry(0, undefined), at)?.perSecond).to.equal(remainingMs > 0 ? COLD_START.perSecond : undefined)
    })
  }

  it('have no effect, and are not reported, counted or told of, where the service has no cold start', () => {
    const changes: cold.ColdChange[] = []
    const known = new cold.ColdTargets(() => undefined, (change) => { changes.push(change) })
    known.recordEntry(entry(1, 3000), true, 0)
    expect(known.recordAnswer(entry(1, 3000), 2500, 0)).to.equal(false)
    expect(known.phaseOf(entry(1, 3000), 0)).to.equal(undefined)
    expect([known.reports(0), known.count(0), changes]).to.deep.equal([[], 0, []])
  })

  it('are reported up to a hundred, those that stay cold longest first', () => {
    const known = new cold.ColdTargets(() => COLD_START, () => {})
    for (let index = 1; index <= 150; index++) known.recordEntry({ ...entry(1, 1000 + index), id: `t${index}` }, true, 0)
    expect(known.reports(0).map(({ remainingMs }) => remainingMs)).to.deep.equal(Array.from({ length: 100 }, (_value, index) => 1150 - index))
    expect(known.count(0)).to.equal(150)
  })

  it('are told of once when they become cold, and once when they are warm', () => {
    const changes: string[] = []
    const known = new cold.ColdTargets(() => COLD_START, ({ isCold, source }) => { changes.push(`${isCold ? 'cold' : 'warm'} by ${source}`) })
    known.recordEntry(entry(1, 3000), true, 0)
    known.recordAnswer(entry(1, 3000), 2900, 100)
    expect(known.reports(200)).to.deep.equal([report(1, 2800, 100)])
    expect(known.reports(4000)).to.deep.equal([])
    expect(changes).to.deep.equal(['cold by entry', 'warm by time'])
  })

  it('get the share of routers that cannot reach the keeper, but none that was saved up', () => {
    const random = new randoms.SeededRandom(3)
    const routers = Array.from({ length: 8 }, () => new limits.UnreachedShares(random))
    const grantedAt: number[] = []
    for (let now = 0; now < 60_000; now += 10) {
      for (const router of routers) if (router.request('t', 16, 8, now).isGranted) grantedAt.push(now)
    }
    expect(grantedAt.length / 60).to.be.within(1.4, 1.8)
    const lateGrants = routers.filter((router) => router.request('t', 16, 8, 600_000).isGranted)
    expect(lateGrants.length).to.be.below(4)
  })

  for (const [keeperCount, perSecond] of [2, 3].flatMap((count) => [1, 4, 16, 200].map((rate) => [count, rate]))) {
    it(`get at most one and a half times ${perSecond} requests and five more in a second from ${keeperCount} keepers and 91 routers that reach none`, () => {
      const random = new randoms.SeededRandom(4)
      const keepers = Array.from({ length: keeperCount }, () => new limits.PermitIssuer())
      const unreached = Array.from({ length: 91 }, () => new limits.UnreachedShares(random))
      const grantedAt: number[] = []
      for (let now = 0; now < 20_000; now += 5) {
        for (const keeper of keepers) if (keeper.request('t', perSecond, 1, now, true).isGranted) grantedAt.push(now)
        for (const router of unreached) if (router.request('t', perSecond, 91, now).isGranted) grantedAt.push(now)
      }
      const most = Math.max(...grantedAt.map((from) => grantedAt.filter((at) => at >= from && at < from + 1000).length))
      expect(most).to.be.at.most(1.5 * perSecond + 5)
    })
  }

  it('are chosen where warm ones are slower, and later the colder they are', () => {
    const chosenAt = (share: number, queued: number): string | undefined => {
      const board = new boards.TargetBoard()
      for (const id of ['cold', 'warm']) board.upsertEntry({ ...entry(1, 0), id })
      for (let count = 0; count < queued; count++) board.recordStart('warm', 1000, [], count)
      const request = { service: 's', sharedParts: [], promptTokens: 2000, availabilityZone: 'a' }
      return placement.chooseTarget(board, request, new Set(), 100, undefined, undefined, ({ entry: { id } }) => id === 'cold' ? share : 0)?.target.entry.id
    }
    expect([chosenAt(1, 0), chosenAt(1, 1), chosenAt(1, 3), chosenAt(0.4, 1), chosenAt(0.01, 0)]).to.deep.equal(['warm', 'warm', 'cold', 'cold', 'warm'])
  })
})

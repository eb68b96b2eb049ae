import * as chai from 'chai'
import * as configuration from '../src/configuration-head.js'
import * as frames from '../src/frame-sequence.js'
import * as membership from '../src/membership.js'
import * as keys from '../src/request-key.js'
import * as retry from '../src/retry-rules.js'
import * as store from '../src/witness-store.js'
import * as worst from '../src/worst-case.js'

describe('retry rules', () => {
  const cases: Array<[retry.DispatchKnowledge, repeatable: boolean, resumable: boolean, retry.RetryAction]> = [
    ['never-sent', false, false, 'move-to-other'],
    ['never-sent', true, true, 'move-to-other'],
    ['sent-no-answer', true, false, 'move-to-other'],
    ['sent-no-answer', false, false, 'report-unknown'],
    ['sent-no-answer', false, true, 'resume'],
    ['part-of-answer', true, false, 'report-unknown'],
    ['part-of-answer', true, true, 'resume']
  ]
  for (const [knowledge, repeatable, resumable, action] of cases) {
    it(`${knowledge}, ${repeatable ? '' : 'not '}repeatable, ${resumable ? '' : 'not '}resumable: ${action}`, () => {
      chai.expect(retry.decideRetry({ knowledge, repeatable, resumable })).to.equal(action)
    })
  }
})

describe('frame sequence', () => {
  const cases: Array<{ title: string, frames: Array<[requestId: string, offset: number]>, verdicts: frames.FrameVerdict[] }> = [
    { title: 'delivers frames in order', frames: [['r', 0], ['r', 1]], verdicts: ['deliver', 'deliver'] },
    { title: 'drops repeated frames', frames: [['r', 0], ['r', 0], ['r', 1]], verdicts: ['deliver', 'duplicate', 'deliver'] },
    { title: 'drops frames of another answer', frames: [['q', 0], ['r', 0]], verdicts: ['foreign', 'deliver'] },
    { title: 'reports a gap and does not move on', frames: [['r', 0], ['r', 2], ['r', 1]], verdicts: ['deliver', 'gap', 'deliver'] }
  ]
  for (const example of cases) {
    it(example.title, () => {
      const sequence = new frames.FrameSequence('r', 0)
      const verdicts = example.frames.map(([requestId, offset]) => sequence.accept({ requestId, offset }))
      chai.expect(verdicts).to.deep.equal(example.verdicts)
    })
  }
})

describe('configuration tracker', () => {
  it('never goes back to a lower generation', () => {
    const tracker = new configuration.ConfigurationTracker<string>()
    const head = (generation: number): configuration.ConfigurationHead => ({ generation, changeId: '', earlierChanges: [], chunks: [] })
    const accepted = [3, 2, 3, 4, 1].map((generation) => tracker.accept(head(generation), `manifest ${generation}`))
    chai.expect(accepted).to.deep.equal([true, false, false, true, false])
    chai.expect(tracker.manifest).to.equal('manifest 4')
  })
})

describe('request key', () => {
  const cases: Array<[key: string, incarnation: string | undefined]> = [
    ['host-1-ab.order-7', 'host-1-ab'],
    ['host-1-ab.order.7', 'host-1-ab'],
    ['order-7', undefined],
    ['.order-7', undefined],
    ['host-1-ab.', undefined]
  ]
  for (const [key, incarnation] of cases) {
    it(`reads the home of "${key}"`, () => {
      chai.expect(keys.parseHomeKey(key)?.incarnation).to.equal(incarnation)
    })
  }
})

describe('witness store', () => {
  const open = (sequence: number): Parameters<store.WitnessStore['hold']>[1][number] => ({ kind: 'not-run', sequence, requestId: `r${sequence}` })

  it('refuses records of an owner that it has sealed', () => {
    const held = new store.WitnessStore()
    held.hold('owner', [open(1)], 0)
    chai.expect(held.seal('owner')).to.have.length(1)
    chai.expect(held.hold('owner', [open(2)], 0)).to.deep.equal({ sealed: true })
    chai.expect(held.seal('owner')).to.have.length(1)
  })

  it('drops records that the journal contains', () => {
    const held = new store.WitnessStore()
    held.hold('owner', [open(1), open(2)], 0)
    held.hold('owner', [open(3)], 2)
    chai.expect(held.seal('owner').map((record) => record.sequence)).to.deep.equal([3])
  })

  it('seals an owner that it has never heard of', () => {
    const held = new store.WitnessStore()
    chai.expect(held.seal('owner')).to.deep.equal([])
    chai.expect(held.hold('owner', [open(1)], 0).sealed).to.equal(true)
  })
})

describe('worst case', () => {
  it('counts no fewer prompt tokens than the text has bytes', () => {
    chai.expect(worst.worstCasePromptTokens([{ role: 'user', content: 'вода' }])).to.be.at.least(8)
  })
})

describe('membership', () => {
  const member = (incarnation: string, availabilityZone: string): membership.Member => ({
    incarnation, host: incarnation, availabilityZone, peerAddress: '', process: incarnation, callerAddress: '', generation: 0, leaving: false
  })
  const self = member('self', 'a')
  const witnessCases: Array<{ title: string, live: membership.Member[], count: number, zones: number }> = [
    { title: 'takes no witness where no other router is live', live: [], count: 0, zones: 0 },
    { title: 'takes one of one', live: [member('x', 'b')], count: 1, zones: 1 },
    { title: 'takes one of two, so that the number is odd', live: [member('x', 'b'), member('y', 'c')], count: 1, zones: 1 },
    { title: 'takes three in other zones first', live: [member('v', 'a'), member('w', 'b'), member('x', 'b'), member('y', 'c'), member('z', 'd')], count: 3, zones: 3 }
  ]
  for (const example of witnessCases) {
    it(example.title, () => {
      const chosen = membership.chooseWitnesses(self, example.live, 3)
      chai.expect(chosen).to.have.length(example.count)
      chai.expect(new Set(chosen.map((witness) => witness.availabilityZone)).size).to.equal(example.zones)
    })
  }

  it('suspects, then declares dead, a member that has gone silent', () => {
    const known = new membership.Membership({ suspectAfterMs: 10, deadAfterMs: 20 })
    known.heard(member('x', 'b'), 100)
    known.watch('self', 3, 100)
    const states = [105, 115, 125].map((now) => [known.live(now).length, known.silent(now).length, known.dead(now).length])
    chai.expect(states).to.deep.equal([[1, 0, 0], [0, 1, 0], [0, 1, 1]])
  })

  it('gives every member the same number of watchers, and new ones when they fall silent', () => {
    const names = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h']
    const watchersOf = (alive: string[], watched: string): string[] => alive.filter((self) => {
      const known = new membership.Membership({ suspectAfterMs: 10, deadAfterMs: 20 })
      for (const other of names) if (other !== self) known.heard(member(other, 'z'), alive.includes(other) ? 100 : 0)
      known.suspectedElsewhere(names.filter((name) => !alive.includes(name)), 100)
      return known.watch(self, 3, 100).some((entry) => entry.incarnation === watched)
    })
    const first = watchersOf(names.filter((name) => name !== 'h'), 'h')
    chai.expect(first).to.have.length(3)
    chai.expect(watchersOf(names.filter((name) => name !== 'h' && !first.includes(name)), 'h')).to.have.length(3)
  })

  it('takes a journal that is still written as a sign of life', () => {
    const known = new membership.Membership({ suspectAfterMs: 10, deadAfterMs: 20 })
    known.heard(member('x', 'b'), 100)
    known.watch('self', 3, 100)
    known.journalSeen(member('x', 'b'), 7, 118)
    known.journalSeen(member('x', 'b'), 8, 119)
    chai.expect(known.dead(130)).to.have.length(0)
  })
})

// Safety rules under lost, duplicate and late messages. The tests guard against a second run of a request that must run at
// most once, frames delivered twice or out of order, a return to older configuration, records accepted from a sealed owner,
// token estimates below the actual use, an even number of witnesses, and live members that are declared dead.
import * as chai from 'chai'
import * as configurationHead from '../src/configuration-head.js'
import * as frameSequence from '../src/frame-sequence.js'
import * as membership from '../src/membership.js'
import * as requestKey from '../src/request-key.js'
import * as retryRules from '../src/retry-rules.js'
import * as witnessStore from '../src/witness-store.js'
import * as worstCase from '../src/worst-case.js'

describe('retry rules', () => {
  const cases: Array<[retryRules.DispatchKnowledge, repeatable: boolean, resumable: boolean, retryRules.RetryAction]> = [
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
      chai.expect(retryRules.decideRetry({ knowledge, repeatable, resumable })).to.equal(action)
    })
  }
})

describe('frame sequence', () => {
  const cases: Array<{ title: string, frames: Array<[requestId: string, offset: number]>, verdicts: frameSequence.FrameVerdict[] }> = [
    { title: 'delivers frames in order', frames: [['r', 0], ['r', 1]], verdicts: ['deliver', 'deliver'] },
    { title: 'drops duplicate frames', frames: [['r', 0], ['r', 0], ['r', 1]], verdicts: ['deliver', 'duplicate', 'deliver'] },
    { title: 'drops frames of another answer', frames: [['q', 0], ['r', 0]], verdicts: ['foreign', 'deliver'] },
    { title: 'reports a gap without advancing', frames: [['r', 0], ['r', 2], ['r', 1]], verdicts: ['deliver', 'gap', 'deliver'] }
  ]
  for (const example of cases) {
    it(example.title, () => {
      const sequence = new frameSequence.FrameSequence('r', 0)
      const verdicts = example.frames.map(([requestId, offset]) => sequence.accept({ requestId, offset }))
      chai.expect(verdicts).to.deep.equal(example.verdicts)
    })
  }
})

describe('configuration tracker', () => {
  it('ignores a generation that is not newer', () => {
    const tracker = new configurationHead.ConfigurationTracker<string>()
    const head = (generation: number): configurationHead.ConfigurationHead => ({ generation, changeId: '', earlierChanges: [], chunks: [] })
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
    it(`parses the home incarnation of "${key}"`, () => {
      chai.expect(requestKey.parsePrefixedKey(key)?.incarnation).to.equal(incarnation)
    })
  }
})

describe('witness store', () => {
  const openRecord = (sequence: number): Parameters<witnessStore.WitnessStore['hold']>[1][number] => ({ kind: 'not-run', sequence, requestId: `r${sequence}` })

  it('refuses records of a sealed owner', () => {
    const store = new witnessStore.WitnessStore()
    store.hold('owner', [openRecord(1)], 0)
    chai.expect(store.seal('owner')).to.have.length(1)
    chai.expect(store.hold('owner', [openRecord(2)], 0)).to.deep.equal({ sealed: true })
    chai.expect(store.seal('owner')).to.have.length(1)
  })

  it('drops records that the journal contains', () => {
    const store = new witnessStore.WitnessStore()
    store.hold('owner', [openRecord(1), openRecord(2)], 0)
    store.hold('owner', [openRecord(3)], 2)
    chai.expect(store.seal('owner').map((record) => record.sequence)).to.deep.equal([3])
  })

  it('seals an unknown owner and then refuses its records', () => {
    const store = new witnessStore.WitnessStore()
    chai.expect(store.seal('owner')).to.deep.equal([])
    chai.expect(store.hold('owner', [openRecord(1)], 0).sealed).to.equal(true)
  })
})

describe('worst case', () => {
  it('counts at least one prompt token per byte of text', () => {
    chai.expect(worstCase.worstCasePromptTokens([{ role: 'user', content: 'вода' }])).to.be.at.least(8)
  })
})

describe('membership', () => {
  const member = (incarnation: string, availabilityZone: string): membership.Member => ({
    incarnation, host: incarnation, availabilityZone, peerAddress: '', process: incarnation, callerAddress: '', generation: 0, leaving: false
  })
  const self = member('self', 'a')
  const witnessCases: Array<{ title: string, live: membership.Member[], count: number, zones: number }> = [
    { title: 'chooses no witness if no other router is live', live: [], count: 0, zones: 0 },
    { title: 'chooses the only live router as witness', live: [member('x', 'b')], count: 1, zones: 1 },
    { title: 'chooses one witness of two live routers, so that the number is odd', live: [member('x', 'b'), member('y', 'c')], count: 1, zones: 1 },
    { title: 'prefers witnesses in three other zones', live: [member('v', 'a'), member('w', 'b'), member('x', 'b'), member('y', 'c'), member('z', 'd')], count: 3, zones: 3 }
  ]
  for (const example of witnessCases) {
    it(example.title, () => {
      const chosen = membership.chooseWitnesses(self, example.live, 3)
      chai.expect(chosen).to.have.length(example.count)
      chai.expect(new Set(chosen.map((witness) => witness.availabilityZone)).size).to.equal(example.zones)
    })
  }

  it('suspects a silent member, then declares it dead', () => {
    const members = new membership.Membership({ suspectAfterMs: 10, deadAfterMs: 20 })
    members.recordHeartbeat(member('x', 'b'), 100)
    members.updateMonitored('self', 3, 100)
    const states = [105, 115, 125].map((now) => [members.live(now).length, members.suspected(now).length, members.dead(now).length])
    chai.expect(states).to.deep.equal([[1, 0, 0], [0, 1, 0], [0, 1, 1]])
  })

  it('assigns three live monitors to a member, and three others if those fail', () => {
    const names = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h']
    const monitorsOf = (alive: string[], incarnation: string): string[] => alive.filter((self) => {
      const members = new membership.Membership({ suspectAfterMs: 10, deadAfterMs: 20 })
      for (const other of names) if (other !== self) members.recordHeartbeat(member(other, 'z'), alive.includes(other) ? 100 : 0)
      members.recordSuspicions(names.filter((name) => !alive.includes(name)), 100)
      return members.updateMonitored(self, 3, 100).some((entry) => entry.incarnation === incarnation)
    })
    const monitors = monitorsOf(names.filter((name) => name !== 'h'), 'h')
    chai.expect(monitors).to.have.length(3)
    chai.expect(monitorsOf(names.filter((name) => name !== 'h' && !monitors.includes(name)), 'h')).to.have.length(3)
  })

  it('counts a journal that is still written as a sign of life', () => {
    const members = new membership.Membership({ suspectAfterMs: 10, deadAfterMs: 20 })
    members.recordHeartbeat(member('x', 'b'), 100)
    members.updateMonitored('self', 3, 100)
    members.recordJournalWrites(member('x', 'b'), 7, 118)
    members.recordJournalWrites(member('x', 'b'), 8, 119)
    chai.expect(members.dead(130)).to.have.length(0)
  })
})

// Guards against billing a request twice, charging one that did not run, and reporting "not run" without proof.
// These faults arise when a record arrives more than once, or when a router recovers the journal of an ended incarnation
// from too few witnesses.
import * as chai from 'chai'
import * as journal from '../src/journal.js'
import * as keys from '../src/request-key.js'
import * as types from '../src/journal-types.js'

const owner = { incarnation: 'host-1-a', host: 'host-1', availabilityZone: 'zone-a', peerAddress: '127.0.0.1:1', process: 'p' }

function intentOf (requestId: string, repeatable = true): types.Intent {
  return { requestId, account: 'alpha', budget: 'shared', target: 'engine-1', reservedTokens: 100, reservedPromptTokens: 60, openedAtMs: 0, key: `host-1-a.${requestId}`, repeatable }
}

function billOf (requestId: string, outcome: types.BillOutcome = 'complete'): types.Bill {
  return { requestId, account: 'alpha', budget: 'shared', target: 'engine-1', key: `host-1-a.${requestId}`, promptTokens: 10, completionTokens: 20, outcome }
}

function journalAfter (records: types.LogRecord[], witnesses: string[] = []): types.Journal {
  const started = journal.createJournal(owner, witnesses)
  for (const record of records) journal.applyRecord(started, record)
  return started
}

describe('journal', () => {
  it('bills a request once if its bill arrives several times', () => {
    const record: types.LogRecord = { kind: 'billed', sequence: 2, bill: billOf('r1') }
    const written = journalAfter([{ kind: 'open', sequence: 1, intent: intentOf('r1') }, record, record, { ...record, sequence: 3 }])
    chai.expect(written.bills).to.have.length(1)
    chai.expect(written.spent).to.deep.equal({ shared: { alpha: 30 } })
  })

  it('charges nothing for a request that did not run', () => {
    const written = journalAfter([{ kind: 'open', sequence: 1, intent: intentOf('r1') }, { kind: 'not-run', sequence: 2, requestId: 'r1' }])
    chai.expect(written.spent).to.deep.equal({})
    chai.expect(written.open).to.deep.equal({})
  })

  const quorumCases = [
    { title: 'does not gather while only one of three witnesses has answered', witnesses: ['a', 'b', 'c'], answered: ['a'], gathers: false },
    { title: 'gathers from two of three witnesses', witnesses: ['a', 'b', 'c'], answered: ['a', 'c'], gathers: true },
    { title: 'does not gather before the only witness has answered', witnesses: ['a'], answered: [], gathers: false },
    { title: 'gathers at once if the journal names no witnesses', witnesses: [], answered: [], gathers: true },
    { title: 'does not count the answer of a router that is not a witness', witnesses: ['a', 'b', 'c'], answered: ['a', 'x'], gathers: false }
  ]
  for (const example of quorumCases) {
    it(example.title, () => {
      const sealed = journal.seal(journalAfter([], example.witnesses))
      const tails = new Map(example.answered.map((witness) => [witness, [] as types.LogRecord[]]))
      chai.expect(journal.gather(sealed, tails) !== undefined).to.equal(example.gathers)
    })
  }

  it('applies the records of all witnesses once and in sequence order', () => {
    const sealed = journal.seal(journalAfter([{ kind: 'open', sequence: 1, intent: intentOf('r1') }], ['a', 'b', 'c']))
    const open: types.LogRecord = { kind: 'open', sequence: 2, intent: intentOf('r2') }
    const billed: types.LogRecord = { kind: 'billed', sequence: 3, bill: billOf('r2') }
    const gathered = journal.gather(sealed, new Map([['a', [open]], ['b', [billed, open]]]))
    chai.expect(gathered?.bills.map((bill) => bill.requestId)).to.deep.equal(['r2'])
    chai.expect(Object.keys(gathered?.open ?? {})).to.deep.equal(['r1'])
    chai.expect(gathered === undefined ? true : journal.isSettled(gathered)).to.equal(false)
  })

  it('charges the whole headroom and reports "unknown" if the owner and all witnesses are lost', () => {
    const sealed = journal.seal({ ...journalAfter([], ['a', 'b', 'c']), headroom: { shared: { alpha: 70 } } })
    const gathered = journal.gatherChargingHeadroom(sealed, new Map())
    chai.expect(gathered?.spent).to.deep.equal({ shared: { alpha: 70 } })
    chai.expect(keys.runStateFromEndedJournal(gathered ?? sealed, journal.claimName('alpha', 'host-1-a.r1'))).to.equal('unknown')
  })

  const claim = journal.claimName('alpha', 'host-1-a.r1')
  const open: types.LogRecord = { kind: 'open', sequence: 1, intent: intentOf('r1', false) }
  const runStateCases: Array<{ title: string, records: types.LogRecord[], gathered: boolean, state: types.RunState }> = [
    { title: 'reports "not run" for a gathered journal without the claim', records: [], gathered: true, state: 'not-run' },
    { title: 'reports "unknown" before the records of the witnesses are gathered', records: [], gathered: false, state: 'unknown' },
    { title: 'reports "unknown" for a claim that was never closed', records: [open], gathered: true, state: 'unknown' },
    { title: 'reports "ran" for a billed claim', records: [open, { kind: 'billed', sequence: 2, bill: billOf('r1') }], gathered: true, state: 'ran' },
    { title: 'reports "unknown" for a call that was sent and never answered', records: [open, { kind: 'billed', sequence: 2, bill: billOf('r1', 'unknown') }], gathered: true, state: 'unknown' },
    { title: 'reports "not run" for a claim that was closed as not run', records: [open, { kind: 'not-run', sequence: 2, requestId: 'r1' }], gathered: true, state: 'not-run' }
  ]
  for (const example of runStateCases) {
    it(example.title, () => {
      const sealed = journal.seal(journalAfter(example.records))
      const ended = example.gathered ? journal.gather(sealed, new Map()) : sealed
      chai.expect(keys.runStateFromEndedJournal(ended ?? sealed, claim)).to.equal(example.state)
    })
  }
})

// Guards against a request that is sent to a target which asked for rest while the request waited for a permit, or whose caller left meanwhile,
// and against requests that wait together, for tokens or permits, and all go to the target that is the best one at that moment.
import * as decisions from '@acaciaweir/decisions'
import type * as adapter from '@acaciaweir/platform-adapter'
import * as runtime from '@acaciaweir/runtime'
import * as chai from 'chai'
import type * as calls from '../src/call.js'
import type * as targetPermits from '../src/target-permits.js'
import * as connectionSlots from '../src/connection-slots.js'
import * as targetChoosers from '../src/target-chooser.js'
import * as virtualClocks from './virtual-clock.js'

const { expect } = chai

const PERMIT_MS = 50

function callOf (): calls.Call {
  return { service: 'engines', sends: [], route: { name: 'plan' }, deadlineAt: Infinity, rank: 0, request: { promptParts: [], promptTokens: 0 }, abortController: new AbortController() } as unknown as calls.Call
}

/** Builds a chooser for the given targets, whose permits take a while. */
function chooserFor (clock: virtualClocks.VirtualClock, targets: string[]): { board: decisions.targetBoard.TargetBoard, chooser: targetChoosers.TargetChooser, entries: decisions.agreementTypes.TargetEntry[] } {
  const board = new decisions.targetBoard.TargetBoard()
  const entries = targets.map((id) => ({ id, service: 'engines', address: `10.0.0.1:${id.charCodeAt(0)}`, availabilityZone: 'zone-a', slots: 4, leaving: false }))
  board.replaceEntries(entries)
  const permits = {
    maximumWaitMs: () => 1000,
    mayAsk: () => true,
    acquire: async () => {
      await clock.sleep(PERMIT_MS)
      return true
    },
    expectedWaitMs: () => undefined,
    startWaiting: () => () => {}
  } as unknown as targetPermits.TargetPermits
  const chooser = new targetChoosers.TargetChooser({
    clock,
    board,
    random: new decisions.random.SeededRandom(1),
    permits,
    slots: new connectionSlots.ConnectionSlots(() => Infinity),
    leavingAdmission: new decisions.leavingAdmission.LeavingAdmission(),
    logger: runtime.logging.createLogger('silent'),
    targetLimits: new decisions.targetLimits.TargetLimits(() => {}),
    targetRests: new decisions.targetRests.TargetRests(),
    availabilityZone: 'zone-a',
    announce: () => {},
    onChosen: () => {}
  })
  return { board, chooser, entries }
}

describe('TargetChooser', () => {
  const cases: Array<{ name: string, targets: string[], resting: string[], hasCallerLeft?: boolean, chosen: string | undefined }> = [
    { name: 'sends to the target for which a permit came', targets: ['a'], resting: [], chosen: 'a' },
    { name: 'sends to another target if that one asked for rest while the request waited for its permit', targets: ['a', 'b'], resting: ['a'], chosen: 'b' },
    { name: 'sends to none if all asked for rest while the request waited for a permit', targets: ['a'], resting: ['a'], chosen: undefined },
    { name: 'sends to none if the caller left while the request waited for a permit', targets: ['a', 'b'], resting: [], hasCallerLeft: true, chosen: undefined }
  ]
  for (const { name, targets, resting, hasCallerLeft, chosen } of cases) {
    it(name, async () => {
      const clock = new virtualClocks.VirtualClock()
      const { chooser, entries } = chooserFor(clock, targets)
      const call = callOf()
      const placement = chooser.place(call, new Set())
      await clock.runUntil(PERMIT_MS / 2)
      const answer = { belongsToAttempt: true, isLeaving: false, restMs: 5000, limitPerSecond: undefined } as unknown as adapter.targetRequest.TargetResponse
      for (const entry of entries.filter(({ id }) => resting.includes(id))) chooser.recordAnswer(call, entry, answer, clock.now())
      if (hasCallerLeft === true) call.abortReason = 'caller'
      await clock.runUntil(PERMIT_MS * 4)
      expect((await placement)?.placement.target.entry.id).to.equal(chosen)
    })
  }

  it('spreads requests that start at the same moment, before any of them is sent', async () => {
    const clock = new virtualClocks.VirtualClock()
    const { board, chooser } = chooserFor(clock, ['a', 'b', 'c', 'd'])
    const placements = Array.from({ length: 16 }, async () => await chooser.place(callOf(), new Set()))
    await clock.runUntil(PERMIT_MS * 4)
    const chosen = await Promise.all(placements)
    for (const id of ['a', 'b', 'c', 'd']) expect(chosen.filter((choice) => choice?.placement.target.entry.id === id)).to.have.length(4)
    for (const choice of chosen) choice?.release()
    expect(board.ownWork()).to.deep.equal({})
  })
})

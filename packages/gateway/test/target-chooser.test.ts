// Guards against a request that is sent to a target which asked for rest while the request waited for a permit, or whose caller left meanwhile.
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
        permits,
        slots: new connectionSlots.ConnectionSlots(() => Infinity),
        leavingAdmission: new decisions.leavingAdmission.LeavingAdmission(),
        logger: runtime.logging.createLogger('silent'),
        targetLimits: new decisions.targetLimits.TargetLimits(() => {}),
        coldTargets: new decisions.coldTargets.ColdTargets(() => undefined, () => {}),
        targetRests: new decisions.targetRests.TargetRests(),
        availabilityZone: 'zone-a',
        announce: () => {}
      })
      const call = { service: 'engines', sends: [], route: { name: 'plan' }, deadlineAt: Infinity, rank: 0, request: { promptParts: [], promptTokens: 0 }, abortController: new AbortController() } as unknown as calls.Call
      const placement = chooser.place(call, new Set())
      await clock.runUntil(PERMIT_MS / 2)
      const answer = { belongsToAttempt: true, isLeaving: false, restMs: 5000, limitPerSecond: undefined } as unknown as adapter.targetRequest.TargetResponse
      for (const entry of entries.filter(({ id }) => resting.includes(id))) chooser.recordAnswer(call, entry, answer, clock.now())
      if (hasCallerLeft === true) call.abortReason = 'caller'
      await clock.runUntil(PERMIT_MS * 4)
      expect((await placement)?.placement.target.entry.id).to.equal(chosen)
    })
  }
})

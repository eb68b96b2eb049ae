// Guards against a host that takes work which it cannot finish before it stops, and against one that refuses work which it can.
import * as chai from 'chai'
import * as leavingAdmissions from '../src/leaving-admission.js'

const { expect } = chai

interface Case {
  name: string
  /** Durations of the requests of this kind that ended before, in milliseconds. */
  durations: number[]
  /** Time since the start of leaving, in milliseconds; undefined if the host stays. The host stops after 7000. */
  leavingForMs: number | undefined
  limitMs: number
  mayStart: boolean
}

const typical = [300, 400, 500, 800, 1000]

const cases: Case[] = [
  { name: 'takes any request while it stays', durations: [], leavingForMs: undefined, limitMs: 100_000, mayStart: true },
  { name: 'takes a request that must end in time', durations: [], leavingForMs: 4000, limitMs: 3000, mayStart: true },
  { name: 'refuses a request of an unknown kind that may last longer', durations: [], leavingForMs: 100, limitMs: 7000, mayStart: false },
  { name: 'takes a long request whose kind has always been short', durations: typical, leavingForMs: 1000, limitMs: 15_000, mayStart: true },
  { name: 'refuses it where one of its kind took half of what is left', durations: [...typical, 3100], leavingForMs: 1000, limitMs: 15_000, mayStart: false },
  { name: 'refuses it where few of its kind have ended', durations: [300, 400], leavingForMs: 1000, limitMs: 15_000, mayStart: false },
  { name: 'refuses it once most callers know other hosts', durations: typical, leavingForMs: 3000, limitMs: 15_000, mayStart: false },
  { name: 'refuses what must end just after the stop', durations: typical, leavingForMs: 4000, limitMs: 3001, mayStart: false }
]

const KIND = 'plan'
const LEAVING_AT = 10_000
const STOP_AFTER_MS = 7000

describe('a host that is leaving', () => {
  for (const { name, durations, leavingForMs, limitMs, mayStart } of cases) {
    it(name, () => {
      const admission = new leavingAdmissions.LeavingAdmission()
      for (const duration of durations) admission.recordDuration(KIND, duration, LEAVING_AT)
      if (leavingForMs !== undefined) admission.startLeaving(LEAVING_AT, LEAVING_AT + STOP_AFTER_MS)
      expect(admission.mayStart(KIND, limitMs, LEAVING_AT + (leavingForMs ?? 0))).to.equal(mayStart)
    })
  }

  it('takes nothing at its end', () => {
    const admission = new leavingAdmissions.LeavingAdmission()
    admission.startLeaving(LEAVING_AT, LEAVING_AT + STOP_AFTER_MS)
    admission.refuseAll()
    expect(admission.mayStart(KIND, 1, LEAVING_AT + 1)).to.equal(false)
  })

  it('forgets durations after a minute', () => {
    const admission = new leavingAdmissions.LeavingAdmission()
    for (const duration of typical) admission.recordDuration(KIND, duration, LEAVING_AT)
    admission.startLeaving(LEAVING_AT + 60_000, LEAVING_AT + 60_000 + STOP_AFTER_MS)
    expect(admission.mayStart(KIND, 15_000, LEAVING_AT + 60_000)).to.equal(false)
  })
})

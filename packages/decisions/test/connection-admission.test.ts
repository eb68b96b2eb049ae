// Guards against a host that keeps taking connections for which it has no time while others idle, and against one that shuts callers out for
// longer than serves them, or though no other host can take them.
import * as chai from 'chai'
import * as connectionAdmission from '../src/connection-admission.js'

const { expect } = chai

type OtherHost = connectionAdmission.OtherHost

const idle: OtherHost = { load: 0.1, processorShare: 0.5, availabilityZone: 'near' }
const busy: OtherHost = { load: 0.95, processorShare: 0.5, availabilityZone: 'near' }
const idleFar: OtherHost = { load: 0.1, processorShare: 4, availabilityZone: 'far' }

/** Read delays of requests that come every 10 ms from 0 on, in milliseconds, and the pauses that they bring. */
interface Case {
  name: string
  delays: number[]
  objectiveMs?: number
  others?: OtherHost[]
  ownLoad?: number
  /** A connection is taken as soon as the port is open. */
  takesConnections?: boolean
  /** Start and length of each pause, in milliseconds. */
  pauses: Array<[at: number, milliseconds: number]>
}

const cases: Case[] = [
  { name: 'takes connections while requests are read soon', delays: repeated(20, 100), pauses: [] },
  { name: 'takes none for a moment once requests wait for a share of the objective', delays: repeated(80, 15), pauses: [[100, 50]] },
  { name: 'takes connections after a single step that held it up', delays: [...repeated(5000, 5), ...repeated(0, 20), ...repeated(5000, 5), ...repeated(0, 20)], pauses: [] },
  { name: 'weighs a delay by what callers need', delays: repeated(80, 15), objectiveMs: 1200, pauses: [] },
  { name: 'has a threshold without objectives', delays: repeated(250, 15), objectiveMs: undefined, pauses: [[100, 50]] },
  { name: 'goes on taking connections after one late request among many in time', delays: repeated(5, 200).map((delayMs, index) => index % 10 === 9 ? 60 : delayMs), pauses: [] },
  { name: 'takes connections between pauses, which become longer up to a bound', delays: repeated(100, 60), pauses: [[100, 50], [200, 75], [330, 100], [480, 100]] },
  { name: 'starts with a short pause after a calm time', delays: [...repeated(100, 22), ...repeated(0, 60), ...repeated(100, 20)], pauses: [[100, 50], [200, 75], [830, 50], [930, 75]] },
  { name: 'takes a connection before the next pause, however late it opens its port', delays: repeated(100, 60), takesConnections: false, pauses: [[100, 50]] },
  { name: 'takes connections if it has no more load than the others', delays: repeated(400, 50), ownLoad: 0.1, pauses: [] },
  { name: 'takes connections if it is alone', delays: repeated(400, 50), others: [], pauses: [] },
  { name: 'takes connections if the others have no time either', delays: repeated(400, 50), others: [busy, busy], pauses: [] },
  { name: 'takes connections if those of its zone have no time, to which its callers are led', delays: repeated(400, 50), others: [busy, idleFar], pauses: [] },
  { name: 'takes connections if the large ones have no time', delays: repeated(400, 50), others: [idle, { ...busy, processorShare: 4 }], pauses: [] },
  { name: 'takes none for a moment if only others far away are there and have time', delays: repeated(80, 15), others: [idleFar], pauses: [[100, 50]] }
]

describe('admission of connections', () => {
  for (const { name, delays, others, pauses, ownLoad, takesConnections = true, ...rest } of cases) {
    it(name, () => {
      const admission = create('objectiveMs' in rest ? rest.objectiveMs : 150, () => others ?? [idle, idle, idle], ownLoad)
      const seen: Array<[number, number]> = []
      for (const [index, delayMs] of delays.entries()) {
        if (takesConnections && index * 10 >= sum(seen.at(-1) ?? [0, 0])) admission.recordConnection(index * 10)
        const pauseMs = admission.recordReadDelay(delayMs, index * 10)
        if (pauseMs > 0) seen.push([index * 10, pauseMs])
      }
      expect(seen).to.deep.equal(pauses)
    })
  }

  it('looks the others up at most ten times a second, and again as their load changes', () => {
    let lookUps = 0
    const admission = create(150, () => {
      lookUps += 1
      return lookUps > 5 ? [idle] : [busy]
    })
    const pausesAt = repeated(400, 200).map((delayMs, index) => admission.recordReadDelay(delayMs, index * 5) > 0 ? index * 5 : -1).filter((at) => at >= 0)
    expect(pausesAt[0]).to.equal(600)
    expect(lookUps).to.be.at.most(10)
  })

  it('reports a saturation once it has ended, once', () => {
    const admission = create(150, () => [idle])
    for (let at = 0; at <= 300; at += 10) {
      if (at === 150) admission.recordConnection(at)
      admission.recordReadDelay(100, at)
    }
    expect(admission.saturation).to.deep.equal({ readDelayMs: 100, othersLoad: 0.1, pauses: 2, pausedMs: 125, startedAt: 100 })
    expect(admission.takeEnded(1200)).to.equal(undefined)
    expect(admission.takeEnded(1300)?.pauses).to.equal(2)
    expect(admission.takeEnded(1400)).to.equal(undefined)
  })
})

function create (objectiveMs: number | undefined, others: () => OtherHost[], ownLoad = 1): connectionAdmission.ConnectionAdmission {
  return new connectionAdmission.ConnectionAdmission({ availabilityZone: 'near', ownLoad: () => ownLoad, objectiveMs: () => objectiveMs, others })
}

function sum ([at, milliseconds]: number[]): number {
  return at + milliseconds
}

function repeated (value: number, times: number): number[] {
  return Array.from({ length: times }, () => value)
}

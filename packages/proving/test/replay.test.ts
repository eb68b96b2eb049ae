import * as chai from 'chai'
import * as fs from 'node:fs'
import * as url from 'node:url'
import * as replays from '../src/replay.js'
import * as traces from '../src/trace-format.js'

const TRACES = url.fileURLToPath(new URL('../../../../traces/', import.meta.url))

const cases: Array<{ title: string, file: string, seed: number }> = [
  { title: 'serves a mixed trace with one bill each, by 8 routers and 9 targets', file: 'short-calm.jsonl', seed: 1 },
  { title: 'keeps its promises when a router is killed and comes back', file: 'short-kill.jsonl', seed: 1 },
  { title: 'keeps its promises when the platform is out, loses answers, and a router freezes', file: 'short-outage.jsonl', seed: 1 },
  { title: 'keeps its promises when targets fall silent and leave', file: 'short-targets.jsonl', seed: 1 }
]

describe('replay', () => {
  for (const example of cases) {
    it(example.title, async () => {
      const trace = traces.parseTrace(fs.readFileSync(TRACES + example.file, 'utf8'))
      const verdict = await replays.replay(trace, example.seed)
      chai.expect(verdict.broken, JSON.stringify(verdict)).to.deep.equal([])
      chai.expect(verdict.requests).to.be.greaterThan(100)
      chai.expect(verdict.answeredWhole).to.be.greaterThan(verdict.requests * 0.8)
    })
  }

  const faults: Array<{ title: string, text: string, message: RegExp }> = [
    { title: 'an empty trace', text: '', message: /line 1: the trace is empty/ },
    { title: 'a line that is no JSON', text: '{"trace"', message: /line 1/ },
    { title: 'an unknown kind', text: '{"trace":"t","deployment":{"availabilityZones":["a"],"routers":1,"engines":1,"services":0,"accounts":1,"totalTokens":1,"capTokens":1},"outcomes":{}}\n{"at":1,"kind":"explode"}', message: /line 2: kind/ }
  ]
  for (const fault of faults) {
    it(`refuses ${fault.title} and names the line`, () => {
      chai.expect(() => traces.parseTrace(fault.text)).to.throw(traces.TraceError, fault.message)
    })
  }
})

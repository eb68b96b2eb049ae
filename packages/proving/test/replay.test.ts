// Replays short traces with faults against router, target and platform processes. Guards against double or wrong bills,
// overspent budgets, repeated at-most-once calls and wrong answers, which arise when a fault hits requests in progress.
import * as chai from 'chai'
import * as fs from 'node:fs'
import * as url from 'node:url'
import * as replays from '../src/replay.js'
import * as traces from '../src/trace-format.js'

const TRACES = url.fileURLToPath(new URL('../../../../traces/', import.meta.url))

/** `leastWhole` is the least share of the requests that are answered whole, 0.8 by default. */
const cases: Array<{ title: string, file: string, seed: number, leastWhole?: number }> = [
  { title: 'bills each request of mixed load once on 8 routers and 9 targets', file: 'short-calm.jsonl', seed: 1 },
  { title: 'reaches the stated outcomes when a router is killed and restarted', file: 'short-kill.jsonl', seed: 1 },
  { title: 'reaches the stated outcomes when the platform is down or loses answers and a router freezes', file: 'short-outage.jsonl', seed: 1 },
  { title: 'reaches the stated outcomes when targets stop responding and leave', file: 'short-targets.jsonl', seed: 1 },
  { title: 'loses few engines to a message under which they crash', file: 'short-crashing-message.jsonl', seed: 1, leastWhole: 0.5 }
]

describe('replay', () => {
  for (const example of cases) {
    it(example.title, async () => {
      const trace = traces.parseTrace(fs.readFileSync(TRACES + example.file, 'utf8'))
      const verdict = await replays.replay(trace, example.seed)
      chai.expect(verdict.broken, JSON.stringify(verdict)).to.deep.equal([])
      chai.expect(verdict.requests).to.be.greaterThan(100)
      chai.expect(verdict.answeredWhole).to.be.greaterThan(verdict.requests * (example.leastWhole ?? 0.8))
    })
  }

  const malformedTraces: Array<{ title: string, text: string, message: RegExp }> = [
    { title: 'an empty trace', text: '', message: /line 1: the trace is empty/ },
    { title: 'a line that is not JSON', text: '{"trace"', message: /line 1/ },
    { title: 'an unknown event kind', text: '{"trace":"t","deployment":{"availabilityZones":["a"],"routers":1,"engines":1,"services":0,"accounts":1,"totalTokens":1,"capTokens":1},"outcomes":{}}\n{"at":1,"kind":"explode"}', message: /line 2: kind/ }
  ]
  for (const malformed of malformedTraces) {
    it(`rejects ${malformed.title} and names the line`, () => {
      chai.expect(() => traces.parseTrace(malformed.text)).to.throw(traces.TraceError, malformed.message)
    })
  }
})

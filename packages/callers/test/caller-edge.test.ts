import * as decisions from '@acaciaweir/decisions'
import * as runtime from '@acaciaweir/runtime'
import * as chai from 'chai'
import * as edges from '../src/caller-edge.js'
import * as types from '../src/caller-types.js'

/** A handler that knows one key and refuses with a given problem. */
class RefusingHandler extends types.CallHandler {
  readonly #problem: decisions.problem.Problem
  readonly #proves: boolean

  constructor (problem: decisions.problem.Problem, proves: boolean) {
    super()
    this.#problem = problem
    this.#proves = proves
  }

  override authenticate (bearerKey: string): types.Caller | undefined {
    return bearerKey === 'good' ? { account: 'alpha', priority: 5 } : undefined
  }

  override entryHosts (): types.EntryHosts {
    return { hosts: [], keepSeconds: 30 }
  }

  override async serveModel (call: types.ModelCall): Promise<void> {
    call.proof.checked = this.#proves
    throw new decisions.problem.ProblemError(this.#problem)
  }

  override async serveService (call: types.ServiceCall): Promise<types.ServiceOutcome> {
    call.proof.checked = this.#proves
    throw new decisions.problem.ProblemError(this.#problem)
  }

  override async resumeStream (): Promise<void> {
    throw new decisions.problem.ProblemError(this.#problem)
  }

  override notReadyReason (): string | undefined {
    return this.#problem.tag === 'not_ready' ? 'starting' : undefined
  }
}

interface RefusalCase {
  title: string
  tag: decisions.problem.ProblemTag
  proves: boolean
  headers: Record<string, string>
  status: number
  ran: string
}

const once = { authorization: 'Bearer good', 'idempotency-key': 'host-1-a.order-7', 'acaciaweir-not-repeatable': 'true' }
const cases: RefusalCase[] = [
  { title: 'says "not run" for a repeatable request', tag: 'shutting_down', proves: false, headers: { authorization: 'Bearer good' }, status: 503, ran: 'no' },
  { title: 'says unknown before the key of an at-most-once request was checked', tag: 'shutting_down', proves: false, headers: once, status: 503, ran: 'unknown' },
  { title: 'says unknown for an at-most-once request while it is not ready', tag: 'not_ready', proves: false, headers: once, status: 503, ran: 'unknown' },
  { title: 'says "not run" once the key was checked', tag: 'budget_exhausted', proves: true, headers: once, status: 402, ran: 'no' },
  { title: 'refuses an unknown bearer key', tag: 'no_target', proves: false, headers: { authorization: 'Bearer bad' }, status: 401, ran: 'no' },
  { title: 'refuses a header that is neither true nor false', tag: 'no_target', proves: false, headers: { authorization: 'Bearer good', 'acaciaweir-not-repeatable': 'perhaps' }, status: 400, ran: 'no' }
]

describe('caller edge', () => {
  for (const example of cases) {
    it(example.title, async () => {
      const problem = { tag: example.tag, step: 'test', peer: decisions.problem.Peer.self }
      const edge = new edges.CallerEdge(new RefusingHandler(problem, example.proves), runtime.logging.createLogger('silent'))
      const port = await edge.listen(0, '127.0.0.1')
      try {
        const answer = await runtime.httpCall.callHttp({ method: 'POST', url: `http://127.0.0.1:${port}/services/registry/lookup`, headers: example.headers, body: '{}', idleTimeoutMs: 2000 })
        chai.expect([answer.status, answer.headers['acaciaweir-ran']]).to.deep.equal([example.status, example.ran])
        chai.expect(answer.headers['content-type']).to.equal('application/problem+json')
      } finally {
        edge.closeNow()
      }
    })
  }
})

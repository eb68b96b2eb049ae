// Guards against reporting "not run" for an at-most-once request that may have run before. A refusal that precedes the check
// of the request's key does not know whether an earlier attempt with this key ran.
import * as decisions from '@acaciaweir/decisions'
import * as runtime from '@acaciaweir/runtime'
import * as chai from 'chai'
import * as servers from '../src/caller-server.js'
import * as types from '../src/caller-types.js'

/** A handler that accepts one bearer key and rejects every call with a given problem. */
class RefusingHandler extends types.CallHandler {
  readonly #problem: decisions.problem.Problem
  readonly #checksKey: boolean

  constructor (problem: decisions.problem.Problem, checksKey: boolean) {
    super()
    this.#problem = problem
    this.#checksKey = checksKey
  }

  override authenticate (bearerKey: string): types.Caller | undefined {
    return bearerKey === 'good' ? { account: 'alpha', priority: 5 } : undefined
  }

  override entryHosts (): types.EntryHosts {
    return { hosts: [], keepSeconds: 30 }
  }

  override async serveModel (call: types.ModelCall): Promise<void> {
    call.keyCheck.isDone = this.#checksKey
    throw new decisions.problem.ProblemError(this.#problem)
  }

  override async serveService (call: types.ServiceCall): Promise<types.ServiceOutcome> {
    call.keyCheck.isDone = this.#checksKey
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
  checksKey: boolean
  headers: Record<string, string>
  status: number
  ran: string
}

const atMostOnceHeaders = { authorization: 'Bearer good', 'idempotency-key': 'host-1-a.order-7', 'acaciaweir-not-repeatable': 'true' }
const cases: RefusalCase[] = [
  { title: 'reports "not run" for a repeatable request', tag: 'shutting_down', checksKey: false, headers: { authorization: 'Bearer good' }, status: 503, ran: 'no' },
  { title: 'reports "unknown" for an at-most-once request whose key has not been checked', tag: 'shutting_down', checksKey: false, headers: atMostOnceHeaders, status: 503, ran: 'unknown' },
  { title: 'reports "unknown" for an at-most-once request while the router is not ready', tag: 'not_ready', checksKey: false, headers: atMostOnceHeaders, status: 503, ran: 'unknown' },
  { title: 'reports "not run" for an at-most-once request whose key has been checked', tag: 'budget_exhausted', checksKey: true, headers: atMostOnceHeaders, status: 402, ran: 'no' },
  { title: 'rejects an unknown bearer key', tag: 'no_target', checksKey: false, headers: { authorization: 'Bearer bad' }, status: 401, ran: 'no' },
  { title: 'rejects an acaciaweir-not-repeatable header that is neither true nor false', tag: 'no_target', checksKey: false, headers: { authorization: 'Bearer good', 'acaciaweir-not-repeatable': 'perhaps' }, status: 400, ran: 'no' }
]

describe('caller server', () => {
  for (const example of cases) {
    it(example.title, async () => {
      const problem = { tag: example.tag, step: 'test', peer: decisions.problem.Peer.self }
      const server = new servers.CallerServer(new RefusingHandler(problem, example.checksKey), runtime.logging.createLogger('silent'))
      const port = await server.listen(0, '127.0.0.1')
      try {
        const answer = await runtime.httpCall.callHttp({ method: 'POST', url: `http://127.0.0.1:${port}/services/registry/lookup`, headers: example.headers, body: '{}', idleTimeoutMs: 2000 })
        chai.expect([answer.status, answer.headers['acaciaweir-ran']]).to.deep.equal([example.status, example.ran])
        chai.expect(answer.headers['content-type']).to.equal('application/problem+json')
      } finally {
        server.closeNow()
      }
    })
  }
})

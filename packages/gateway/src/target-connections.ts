import * as decisions from '@acaciaweir/decisions'
import * as runtime from '@acaciaweir/runtime'
import * as http from 'node:http'
import type * as net from 'node:net'

/** Longest wait for a connection to a target, in milliseconds. */
const CONNECT_TIMEOUT_MS = 700

/** Time after which an idle connection is closed, in milliseconds. Targets close theirs later. */
const IDLE_CONNECTION_MS = 4000

/** Part of a target's connections that the gateways use together; the rest is for callers' bursts and health checks. */
const USED_CONNECTION_SHARE = 0.9

/** Fewest connections to a target, however many gateways there are. */
const FEWEST_CONNECTIONS = 4

/** A request that failed at its target, with what is known about whether it ran. */
export class TargetError extends Error {
  readonly step: string
  readonly peer = decisions.problem.Peer.target
  readonly knowledge: decisions.retryRules.DispatchKnowledge

  constructor (step: string, reason: string, knowledge: decisions.retryRules.DispatchKnowledge) {
    super(`target failed at ${step}: ${reason}`)
    this.step = step
    this.knowledge = knowledge
  }
}

/** A request as it goes to a target. */
export interface TargetCall {
  target: decisions.agreementTypes.TargetEntry
  method: string
  path: string
  headers: http.OutgoingHttpHeaders
  body: Buffer
  /** Longest time until the answer begins, in milliseconds. */
  timeoutMs: number
  signal: AbortSignal
}

/**
 * Keeps idle connections, and closes one on which bytes come while no request waits: they would be taken for the start of
 * the next answer.
 */
class GuardedAgent extends http.Agent {
  readonly #guards = new WeakMap<net.Socket, () => void>()

  override keepSocketAlive (socket: net.Socket): boolean {
    const keeps = super.keepSocketAlive(socket) as unknown as boolean
    if (!keeps) return false
    if (socket.readableLength > 0) return false
    const guard = (): void => { socket.destroy() }
    this.#guards.set(socket, guard)
    socket.on('data', guard)
    return true
  }

  override reuseSocket (socket: net.Socket, request: http.ClientRequest): void {
    const guard = this.#guards.get(socket)
    if (guard !== undefined) socket.removeListener('data', guard)
    super.reuseSocket(socket, request)
  }
}

/** Connections to all targets. */
export class TargetConnections {
  readonly #agents = new Map<string, GuardedAgent>()
  opened = 0

  /** Sends a request and returns the head of the answer. Throws TargetError. */
  async send (call: TargetCall, connectionShare: number): Promise<http.IncomingMessage> {
    try {
      return await runtime.httpCall.openCall({
        method: call.method,
        url: `http://${call.target.address}${call.path}`,
        headers: call.headers,
        body: call.body.length > 0 ? call.body : undefined,
        connectTimeoutMs: CONNECT_TIMEOUT_MS,
        idleTimeoutMs: call.timeoutMs,
        agent: this.#agent(call.target, connectionShare),
        signal: call.signal
      })
    } catch (error) {
      const notSent = error instanceof runtime.httpCall.HttpCallError && error.progress === runtime.httpCall.CallProgress.notSent
      const knowledge = notSent ? decisions.retryRules.DispatchKnowledge.neverSent : decisions.retryRules.DispatchKnowledge.sentNoAnswer
      throw new TargetError('send request', (error as Error).message, knowledge)
    }
  }

  /** Closes idle connections to targets that are gone. */
  keepOnly (targets: readonly decisions.agreementTypes.TargetEntry[]): void {
    const present = new Set(targets.map(connectionKey))
    for (const [key, agent] of this.#agents) {
      if (present.has(key)) continue
      agent.destroy()
      this.#agents.delete(key)
    }
  }

  close (): void {
    for (const agent of this.#agents.values()) agent.destroy()
  }

  #agent (target: decisions.agreementTypes.TargetEntry, connectionShare: number): GuardedAgent {
    const key = connectionKey(target)
    let agent = this.#agents.get(key)
    if (agent === undefined) {
      agent = new GuardedAgent({ keepAlive: true, scheduling: 'lifo', timeout: IDLE_CONNECTION_MS, noDelay: true })
      this.#agents.set(key, agent)
    }
    agent.maxSockets = Math.max(FEWEST_CONNECTIONS, Math.floor(connectionShare * USED_CONNECTION_SHARE))
    return agent
  }
}

function connectionKey (target: decisions.agreementTypes.TargetEntry): string {
  return `${target.id} ${target.address}`
}

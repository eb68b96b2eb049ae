import * as decisions from '@acaciaweir/decisions'
import * as runtime from '@acaciaweir/runtime'
import * as http from 'node:http'
import type * as net from 'node:net'

const CONNECT_TIMEOUT_MS = 700

/** Idle time after which the gateway closes a connection, in milliseconds. Targets close theirs later. */
const IDLE_CONNECTION_TIMEOUT_MS = 4000

/** Share of a target's connections that all gateways use together. The rest is left for callers' bursts and health checks. */
const GATEWAY_CONNECTION_SHARE = 0.9

/** Connections that a gateway may open to a target even where its share of the target's limit is smaller. */
const MINIMUM_CONNECTIONS_PER_TARGET = 4

/** Returns the connections that a gateway may open to a target that accepts `maximumConnections` from all. */
export function connectionLimit (maximumConnections: number, gatewayCount: number): number {
  return Math.max(MINIMUM_CONNECTIONS_PER_TARGET, Math.floor(maximumConnections / gatewayCount * GATEWAY_CONNECTION_SHARE))
}

/** A failed request to a target. `knowledge` says whether the request may have run. */
export class TargetError extends Error {
  readonly step: string
  readonly peer = decisions.problem.Peer.target
  readonly knowledge: decisions.retryRules.DispatchKnowledge
  /** The target or the network ended the connection. */
  readonly isConnectionLost: boolean

  constructor (step: string, reason: string, knowledge: decisions.retryRules.DispatchKnowledge, isConnectionLost: boolean) {
    super(`request to target failed at step "${step}": ${reason}`)
    this.step = step
    this.knowledge = knowledge
    this.isConnectionLost = isConnectionLost
  }
}

/** A request that is sent to a target. */
export interface TargetCall {
  target: decisions.agreementTypes.TargetEntry
  method: string
  path: string
  headers: http.OutgoingHttpHeaders
  body: runtime.byteBlocks.ByteBlocks
  /** Longest silence of the target, in milliseconds. */
  timeoutMs: number
  signal: AbortSignal
}

/**
 * Keep-alive agent that closes an idle connection on which bytes arrive. The HTTP parser would take them for the start of the next
 * response on that connection.
 */
class GuardedAgent extends http.Agent {
  readonly #guards = new WeakMap<net.Socket, () => void>()

  override keepSocketAlive (socket: net.Socket): boolean {
    const isKept = super.keepSocketAlive(socket) as unknown as boolean
    if (!isKept) return false
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

/** Connection pools, one for each target. */
export class TargetConnections {
  readonly #agents = new Map<string, GuardedAgent>()
  opened = 0

  /**
   * Sends a request and resolves when the head of the response arrives. A request above the connection limit waits for a connection; the
   * caller keeps within it. Throws TargetError.
   */
  async send (call: TargetCall, connectionLimit: number): Promise<http.IncomingMessage> {
    try {
      return await runtime.httpCall.openCall({
        method: call.method,
        url: `http://${call.target.address}`,
        path: call.path,
        headers: call.headers,
        body: call.body.length > 0 ? call.body : undefined,
        connectTimeoutMs: CONNECT_TIMEOUT_MS,
        idleTimeoutMs: call.timeoutMs,
        agent: this.#agentFor(call.target, connectionLimit),
        signal: call.signal
      })
    } catch (error) {
      const wasNotSent = error instanceof runtime.httpCall.HttpCallError && error.progress === runtime.httpCall.CallProgress.notSent
      const knowledge = wasNotSent ? decisions.retryRules.DispatchKnowledge.neverSent : decisions.retryRules.DispatchKnowledge.sentNoAnswer
      throw new TargetError('send request', (error as Error).message, knowledge, error instanceof runtime.httpCall.HttpCallError && error.isConnectionLost)
    }
  }

  /** Closes the connections to targets that are no longer registered. */
  keepOnly (targets: readonly decisions.agreementTypes.TargetEntry[]): void {
    const presentKeys = new Set(targets.map(connectionKey))
    for (const [key, agent] of this.#agents) {
      if (presentKeys.has(key)) continue
      agent.destroy()
      this.#agents.delete(key)
    }
  }

  close (): void {
    for (const agent of this.#agents.values()) agent.destroy()
  }

  #agentFor (target: decisions.agreementTypes.TargetEntry, connectionLimit: number): GuardedAgent {
    const key = connectionKey(target)
    let agent = this.#agents.get(key)
    if (agent === undefined) {
      agent = new GuardedAgent({ keepAlive: true, scheduling: 'lifo', timeout: IDLE_CONNECTION_TIMEOUT_MS, noDelay: true })
      this.#agents.set(key, agent)
    }
    agent.maxSockets = connectionLimit
    return agent
  }
}

function connectionKey (target: decisions.agreementTypes.TargetEntry): string {
  return `${target.id} ${target.address}`
}

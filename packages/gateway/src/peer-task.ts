import * as decisions from '@acaciaweir/decisions'
import * as routers from '@acaciaweir/routers'
import type * as runtime from '@acaciaweir/runtime'
import * as crypto from 'node:crypto'
import * as membershipLogs from './membership-log.js'
import * as tables from './peer-table.js'

type Calls = routers.gatewayMessages.GatewayCalls
type Heartbeat = routers.gatewayMessages.GatewayHeartbeat

/** Interval between two rounds of heartbeats, in milliseconds. */
const HEARTBEAT_INTERVAL_MS = 300

/** Gateways that get a heartbeat in one round of a large fleet. In a small one all do. */
const HEARTBEATS_PER_ROUND = 2

/** Gateways not heard yet that get a heartbeat in one round. */
const INTRODUCTIONS_PER_ROUND = 24

/** Heartbeats that announce a change to each gateway, as datagrams may be lost, and the pause between them, in milliseconds. */
const ANNOUNCEMENT_REPEATS = 3
const ANNOUNCEMENT_PAUSE_MS = 100

/** Time that a request waits for a token transfer, in milliseconds. The other gateway may have to draw the tokens first. */
const TRANSFER_WAIT_MS = 150

/** Timeout for one call of a token transfer or return, in milliseconds. An overloaded gateway answers late, with tokens that left its pool. */
const TRANSFER_TIMEOUT_MS = 2000

/** Calls for one token transfer. The other gateway gives the same tokens to each. */
const MAXIMUM_TRANSFER_CALLS = 2

/** Timeout for asking for a permit, in milliseconds. The request can go to another target meanwhile. */
const PERMIT_TIMEOUT_MS = 150

/** Timeout for fetching another gateway's agreement and targets, in milliseconds. */
const STATE_TIMEOUT_MS = 3000

/** Time after which a fetch of the state is considered slow, so that another gateway is asked too, in milliseconds. */
const FETCH_HEDGE_DELAY_MS = 400

const MAXIMUM_CONCURRENT_FETCHES = 3

/** Least time between two heartbeats with news to all gateways, in milliseconds. Losses come in groups when a target ends. */
const NEWS_INTERVAL_MS = 100

/** Replies to token transfers that are remembered, so that a repeated request gets the same reply instead of more tokens. */
const MAXIMUM_REMEMBERED_TRANSFERS = 200

/** Dependencies of the peer task. */
export interface PeerTaskOptions {
  /** Peer address of this gateway. */
  selfAddress: string
  table: tables.PeerTable
  seedAddresses: string[]
  clock: decisions.clock.Clock
  logger: runtime.logging.Logger
  /** Builds this gateway's next heartbeat. */
  buildHeartbeat: () => Omit<Heartbeat, 'sequence' | 'asksForAnswer'>
  /** Answers with the state that is newer than what the asking gateway has. */
  newerState: (request: routers.gatewayMessages.StateRequest) => routers.gatewayMessages.GatewayState
  /** Returns the versions of the state that this gateway has. */
  knownVersions: () => routers.gatewayMessages.StateRequest
  /** Takes tokens out of the pool for another gateway. */
  handleTransfer: (request: routers.gatewayMessages.TokenTransferRequest) => Promise<routers.gatewayMessages.TokenTransferReply>
  /** Draws tokens from the token page for another gateway. */
  handleDraw: (request: routers.gatewayMessages.DrawRequest) => Promise<routers.gatewayMessages.DrawReply>
  /** Answers a gateway that asks for a permit. */
  answerPermit: (request: routers.gatewayMessages.PermitRequest) => routers.gatewayMessages.PermitReply
  /** Adds tokens that another gateway returned to the pool. */
  addReturnedTokens: (account: string, tokens: number) => void
  /** Called with each heartbeat received. */
  onHeartbeat: (heartbeat: Heartbeat) => void
  /** Called with the state fetched from another gateway. */
  onState: (state: routers.gatewayMessages.GatewayState) => void
}

/** Exchanges heartbeats with the other gateways by gossip, and transfers tokens and state between gateways. */
export class PeerTask extends routers.peerHandler.PeerHandler<Calls> {
  readonly #options: PeerTaskOptions
  readonly #client = new routers.peerClient.PeerClient<Calls>(routers.peerDefinition.gatewaysService)
  readonly #server: routers.peerServer.PeerServer<Calls>
  readonly #membershipLog: membershipLogs.MembershipLog
  readonly #heartbeats: routers.heartbeatSocket.HeartbeatSocket
  readonly #stop = new AbortController()
  /** Replies to recent token transfers, by transfer id. */
  readonly #transferReplies = new Map<string, Promise<routers.gatewayMessages.TokenTransferReply>>()
  /** Transfers whose request has stopped waiting, by account. */
  readonly #lateTransfers = new Map<string, number>()
  /** Gateways from which a fetch of the state is in progress. */
  readonly #fetchingFrom = new Set<string>()
  #lastFetchAt = -Infinity
  #nextPeerIndex = 0
  #sequence = 0
  #isNewsPending = false

  constructor (options: PeerTaskOptions) {
    super()
    this.#options = options
    this.#membershipLog = new membershipLogs.MembershipLog(options.logger)
    this.#server = new routers.peerServer.PeerServer<Calls>(this, routers.peerDefinition.gatewaysService)
    this.#heartbeats = new routers.heartbeatSocket.HeartbeatSocket({
      onHeartbeat: (heartbeat) => { this.#receiveHeartbeat(heartbeat) },
      onFailure: (peer, reason) => { options.logger.debug({ event: 'heartbeat-failed', peer, reason }) }
    })
  }

  /** Opens the port for calls and the one for heartbeats. */
  async listen (port: number, address: string): Promise<void> {
    await this.#server.listen(port, address)
    await this.#heartbeats.listen(port, address)
  }

  /** Adds the seed gateways to the table and starts the rounds of heartbeats. */
  start (): void {
    for (const seed of this.#options.seedAddresses) this.#options.table.addAddress(seed, this.#options.clock.now())
    void this.#run()
  }

  /** Sends a heartbeat to all known gateways at once, for a change that can't wait for the next round. */
  async announce (): Promise<void> {
    for (let count = 0; count < ANNOUNCEMENT_REPEATS && !this.#stop.signal.aborted; count++) {
      this.#sendHeartbeat(this.#options.table.pruneAndListAddresses(this.#options.clock.now()), false)
      await this.#options.clock.sleep(ANNOUNCEMENT_PAUSE_MS, this.#stop.signal)
    }
  }

  stop (): void {
    this.#stop.abort()
    this.#client.close()
    this.#server.close()
    this.#heartbeats.close()
  }

  /**
   * Requests tokens from another gateway. Resolves to undefined if no reply comes in time. The tokens of a late reply are added to the
   * pool; if none comes at all, tokens that the other gateway took out of its pool count as spent.
   */
  async requestTransfer (peerAddress: string, account: string, tokens: number): Promise<routers.gatewayMessages.TokenTransferReply | undefined> {
    const reply = this.#callForTransfer(peerAddress, account, tokens)
    const timelyReply = await this.#within(reply, TRANSFER_WAIT_MS)
    if (timelyReply === undefined) {
      this.#countLateTransfer(account, 1)
      void reply.then((lateReply) => { this.#addLateTokens(peerAddress, account, lateReply) })
      return undefined
    }
    this.#options.table.updateFreeTokens(peerAddress, account, timelyReply.freeTokens)
    return timelyReply
  }

  /** Asks another gateway to draw tokens from the token page. Resolves to undefined if no reply comes; tokens that were drawn then count as spent. */
  async requestDraw (peerAddress: string, request: routers.gatewayMessages.DrawRequest): Promise<routers.gatewayMessages.DrawReply | undefined> {
    try {
      return await this.#client.call(peerAddress, 'DrawTokens', request, TRANSFER_TIMEOUT_MS)
    } catch (error) {
      this.#options.logger.warn({ event: 'draw-failed', peer: peerAddress, accounts: request.draws.length, reason: (error as Error).message })
      return undefined
    }
  }

  async #within<Reply> (reply: Promise<Reply>, milliseconds: number): Promise<Reply | undefined> {
    const timer = new AbortController()
    const timelyReply = await Promise.race([reply, this.#options.clock.sleep(milliseconds, timer.signal).then(() => undefined)])
    timer.abort()
    return timelyReply
  }

  async #callForTransfer (peerAddress: string, account: string, tokens: number): Promise<routers.gatewayMessages.TokenTransferReply | undefined> {
    const request = { transferId: crypto.randomUUID(), account, tokens, asker: this.#options.selfAddress }
    for (let remainingCalls = MAXIMUM_TRANSFER_CALLS - 1; ; remainingCalls--) {
      try {
        return await this.#client.call(peerAddress, 'TransferTokens', request, TRANSFER_TIMEOUT_MS)
      } catch (error) {
        if (remainingCalls > 0 && !this.#stop.signal.aborted) continue
        this.#options.logger.warn({ event: 'transfer-failed', peer: peerAddress, account, tokens, reason: (error as Error).message })
        return undefined
      }
    }
  }

  /** Returns true if tokens may still come from a transfer that took too long. */
  hasLateTransfer (account: string): boolean {
    return (this.#lateTransfers.get(account) ?? 0) > 0
  }

  #countLateTransfer (account: string, change: number): void {
    this.#lateTransfers.set(account, (this.#lateTransfers.get(account) ?? 0) + change)
  }

  #addLateTokens (peerAddress: string, account: string, reply: routers.gatewayMessages.TokenTransferReply | undefined): void {
    this.#countLateTransfer(account, -1)
    if (reply === undefined) return
    this.#options.addReturnedTokens(account, reply.tokens)
    this.#options.logger.info({ event: 'transfer-late', peer: peerAddress, account, tokens: reply.tokens })
  }

  /**
   * Sends tokens to another gateway, without a retry: a second call could reach a later process at the same address after the tokens of
   * the first call were spent. If no answer comes, the tokens count as spent.
   */
  async returnTokens (peerAddress: string, account: string, tokens: number): Promise<void> {
    try {
      await this.#client.call(peerAddress, 'ReturnTokens', { account, tokens }, TRANSFER_TIMEOUT_MS)
    } catch (error) {
      this.#options.logger.warn({ event: 'return-failed', peer: peerAddress, account, tokens, reason: (error as Error).message })
    }
  }

  /** Asks another gateway for a permit. Rejects if it does not answer in time. */
  async requestPermit (peerAddress: string, request: routers.gatewayMessages.PermitRequest): Promise<routers.gatewayMessages.PermitReply> {
    return await this.#client.call(peerAddress, 'RequestPermit', request, PERMIT_TIMEOUT_MS)
  }

  override async answer<Name extends keyof Calls> (name: Name, request: Calls[Name]['request']): Promise<Calls[Name]['reply']> {
    if (name === 'ReturnTokens') return this.#acceptReturn(request as Calls['ReturnTokens']['request'])
    if (name === 'RequestPermit') return this.#options.answerPermit(request as Calls['RequestPermit']['request'])
    if (name === 'DrawTokens') return await this.#options.handleDraw(request as Calls['DrawTokens']['request'])
    if (name === 'TransferTokens') return await this.#answerTransfer(request as Calls['TransferTokens']['request'])
    return this.#options.newerState(request as Calls['FetchState']['request'])
  }

  #acceptReturn ({ account, tokens }: Calls['ReturnTokens']['request']): object {
    this.#options.addReturnedTokens(account, tokens)
    return {}
  }

  async #answerTransfer (request: Calls['TransferTokens']['request']): Promise<Calls['TransferTokens']['reply']> {
    const known = this.#transferReplies.get(request.transferId)
    if (known !== undefined) return await known
    const reply = this.#options.handleTransfer(request)
    this.#transferReplies.set(request.transferId, reply)
    for (const id of this.#transferReplies.keys()) {
      if (this.#transferReplies.size <= MAXIMUM_REMEMBERED_TRANSFERS) break
      this.#transferReplies.delete(id)
    }
    return await reply
  }

  async #run (): Promise<void> {
    while (!this.#stop.signal.aborted) {
      const silent = this.#options.table.takeNewlySilent(this.#options.clock.now())
      this.#membershipLog.write(silent.map(({ sender, silentMs }) => ({ incarnation: sender.incarnation, silentMs })))
      this.#sendHeartbeat(this.#nextRoundAddresses(), true)
      await this.#options.clock.sleep(HEARTBEAT_INTERVAL_MS, this.#stop.signal)
    }
  }

  #nextRoundAddresses (): string[] {
    const addresses = this.#options.table.pruneAndListAddresses(this.#options.clock.now())
    if (addresses.length <= decisions.fleetSize.MAXIMUM_SMALL_FLEET_SIZE) return addresses
    const round = this.#options.table.takeUnheard(INTRODUCTIONS_PER_ROUND)
    for (let count = 0; count < HEARTBEATS_PER_ROUND; count++) {
      round.push(addresses[this.#nextPeerIndex % addresses.length])
      this.#nextPeerIndex += 1
    }
    return round
  }

  /** Sends a heartbeat to all known gateways soon, together with what else changes until then. */
  async announceSoon (): Promise<void> {
    if (this.#isNewsPending) return
    this.#isNewsPending = true
    await this.#options.clock.sleep(NEWS_INTERVAL_MS, this.#stop.signal)
    this.#isNewsPending = false
    if (!this.#stop.signal.aborted) this.#sendHeartbeat(this.#options.table.pruneAndListAddresses(this.#options.clock.now()), false)
  }

  #sendHeartbeat (addresses: string[], asksForAnswer: boolean): void {
    this.#sequence += 1
    this.#heartbeats.send({ ...this.#options.buildHeartbeat(), sequence: this.#sequence, asksForAnswer }, addresses)
  }

  #receiveHeartbeat (heartbeat: Heartbeat): void {
    if (this.#stop.signal.aborted) return
    const isRegained = this.#options.table.recordHeartbeat(heartbeat, this.#options.clock.now())
    if (isRegained) this.#membershipLog.recordRegained(heartbeat.sender.incarnation)
    this.#options.onHeartbeat(heartbeat)
    if (heartbeat.asksForAnswer) this.#sendHeartbeat([heartbeat.sender.peerAddress], false)
  }

  /**
   * Fetches another gateway's agreement and targets if they are newer. While a fetch is in progress, starts another one only from a different
   * gateway, and only once the first takes long: its connection may be slow to open.
   */
  async fetchState (peerAddress: string): Promise<void> {
    const now = this.#options.clock.now()
    if (this.#fetchingFrom.has(peerAddress) || this.#fetchingFrom.size >= MAXIMUM_CONCURRENT_FETCHES) return
    if (this.#fetchingFrom.size > 0 && now - this.#lastFetchAt < FETCH_HEDGE_DELAY_MS) return
    this.#lastFetchAt = now
    this.#fetchingFrom.add(peerAddress)
    try {
      this.#options.onState(await this.#client.call(peerAddress, 'FetchState', this.#options.knownVersions(), STATE_TIMEOUT_MS))
    } catch (error) {
      this.#options.logger.warn({ event: 'state-fetch-failed', peer: peerAddress, reason: (error as Error).message })
    } finally {
      this.#fetchingFrom.delete(peerAddress)
    }
  }
}

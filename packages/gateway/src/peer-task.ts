import * as decisions from '@acaciaweir/decisions'
import * as routers from '@acaciaweir/routers'
import type * as runtime from '@acaciaweir/runtime'
import * as crypto from 'node:crypto'
import * as tables from './peer-table.js'

type Calls = routers.gatewayMessages.GatewayCalls
type Heartbeat = routers.gatewayMessages.GatewayHeartbeat

/** Time between two rounds of heartbeats, in milliseconds. */
const EXCHANGE_INTERVAL_MS = 300

/** Gateways exchanged with in one round of a larger fleet. */
const EXCHANGES_A_ROUND = 2

/** Times that a change is told to all gateways at once, as datagrams may be lost, and the pause between, in milliseconds. */
const ANNOUNCEMENTS = 3
const ANNOUNCEMENT_PAUSE_MS = 100

/** Longest wait for tokens of another gateway, in milliseconds. A request waits for it, and the other may draw them first. */
const TRANSFER_TIMEOUT_MS = 150

/** Longest wait for another gateway's agreement and targets, in milliseconds. */
const STATE_TIMEOUT_MS = 1500

/** Answers kept of token transfers, so that a repeated question gets the same answer. */
const TRANSFERS_KEPT = 200

/** What exchanging with other gateways needs. */
export interface PeerTaskOptions {
  /** Peer address of this gateway. */
  selfAddress: string
  table: tables.PeerTable
  seeds: string[]
  clock: decisions.clock.Clock
  logger: runtime.logging.Logger
  heartbeat: () => Omit<Heartbeat, 'sequence' | 'asksForAnswer'>
  state: (request: routers.gatewayMessages.StateRequest) => routers.gatewayMessages.GatewayState
  /** What this gateway has already. */
  known: () => routers.gatewayMessages.StateRequest
  giveTokens: (request: routers.gatewayMessages.TokenTransferRequest) => Promise<routers.gatewayMessages.TokenTransferReply>
  takeTokens: (account: string, tokens: number) => void
  /** Called with each heartbeat heard. */
  onHeartbeat: (heartbeat: Heartbeat) => void
  onState: (state: routers.gatewayMessages.GatewayState) => void
}

/** Sends and answers heartbeats, and moves tokens and state between them. */
export class PeerTask extends routers.peerHandler.PeerHandler<Calls> {
  readonly #options: PeerTaskOptions
  readonly #client = new routers.peerClient.PeerClient<Calls>(routers.peerDefinition.gatewaysService)
  readonly #server: routers.peerServer.PeerServer<Calls>
  readonly #heartbeats: routers.heartbeatSocket.HeartbeatSocket
  readonly #stop = new AbortController()
  readonly #given = new Map<string, Promise<routers.gatewayMessages.TokenTransferReply>>()
  #fetching = false
  #next = 0
  #sequence = 0

  constructor (options: PeerTaskOptions) {
    super()
    this.#options = options
    this.#server = new routers.peerServer.PeerServer<Calls>(this, routers.peerDefinition.gatewaysService)
    this.#heartbeats = new routers.heartbeatSocket.HeartbeatSocket({
      heard: (heartbeat) => { this.#hear(heartbeat) },
      failed: (peer, reason) => { options.logger.debug({ event: 'heartbeat-failed', peer, reason }) }
    })
  }

  async listen (port: number, address: string): Promise<void> {
    await this.#server.listen(port, address)
    await this.#heartbeats.listen(port, address)
  }

  start (): void {
    for (const seed of this.#options.seeds) this.#options.table.add(seed, this.#options.clock.now())
    void this.#run()
  }

  /** Tells all gateways at once, for a change that cannot wait for the next round. */
  async announce (): Promise<void> {
    for (let count = 0; count < ANNOUNCEMENTS && !this.#stop.signal.aborted; count++) {
      this.#send(this.#options.table.addresses(this.#options.clock.now()), false)
      await this.#options.clock.sleep(ANNOUNCEMENT_PAUSE_MS, this.#stop.signal)
    }
  }

  stop (): void {
    this.#stop.abort()
    this.#client.close()
    this.#server.close()
    this.#heartbeats.close()
  }

  /** Asks another gateway for tokens. Undefined where it does not answer; what it then gave away counts as spent. */
  async transfer (peerAddress: string, account: string, tokens: number): Promise<routers.gatewayMessages.TokenTransferReply | undefined> {
    try {
      const request = { transferId: crypto.randomUUID(), account, tokens, asker: this.#options.selfAddress }
      const reply = await this.#client.call(peerAddress, 'TransferTokens', request, TRANSFER_TIMEOUT_MS)
      this.#options.table.noteFreeTokens(peerAddress, account, reply.freeTokens)
      return reply
    } catch (error) {
      this.#options.logger.warn({ event: 'transfer-failed', peer: peerAddress, account, tokens, reason: (error as Error).message })
      return undefined
    }
  }

  /**
   * Gives tokens to another gateway, in one try: a second could reach a later process at the same address after the first one's
   * tokens were spent. Where no answer comes the tokens count as spent.
   */
  async returnTokens (peerAddress: string, account: string, tokens: number): Promise<void> {
    try {
      await this.#client.call(peerAddress, 'ReturnTokens', { account, tokens }, TRANSFER_TIMEOUT_MS)
    } catch (error) {
      this.#options.logger.warn({ event: 'return-failed', peer: peerAddress, account, tokens, reason: (error as Error).message })
    }
  }

  override async answer<Name extends keyof Calls> (name: Name, request: Calls[Name]['request']): Promise<Calls[Name]['reply']> {
    if (name === 'ReturnTokens') return this.#takeReturned(request as Calls['ReturnTokens']['request'])
    if (name === 'TransferTokens') return await this.#answerTransfer(request as Calls['TransferTokens']['request'])
    return this.#options.state(request as Calls['FetchState']['request'])
  }

  #takeReturned ({ account, tokens }: Calls['ReturnTokens']['request']): object {
    this.#options.takeTokens(account, tokens)
    return {}
  }

  async #answerTransfer (request: Calls['TransferTokens']['request']): Promise<Calls['TransferTokens']['reply']> {
    const known = this.#given.get(request.transferId)
    if (known !== undefined) return await known
    const reply = this.#options.giveTokens(request)
    this.#given.set(request.transferId, reply)
    for (const id of this.#given.keys()) {
      if (this.#given.size <= TRANSFERS_KEPT) break
      this.#given.delete(id)
    }
    return await reply
  }

  async #run (): Promise<void> {
    while (!this.#stop.signal.aborted) {
      for (const { sender, silentMs } of this.#options.table.takeSilent(this.#options.clock.now())) {
        this.#options.logger.warn({ event: 'dependency-lost', dependency: 'gateway', peer: sender.peerAddress, incarnation: sender.incarnation, leaving: sender.leaving, silentMs })
      }
      this.#send(this.#nextRound(), true)
      await this.#options.clock.sleep(EXCHANGE_INTERVAL_MS, this.#stop.signal)
    }
  }

  #nextRound (): string[] {
    const addresses = this.#options.table.addresses(this.#options.clock.now())
    if (addresses.length <= decisions.fleetSize.SMALL_FLEET) return addresses
    const round: string[] = []
    for (let count = 0; count < EXCHANGES_A_ROUND; count++) {
      round.push(addresses[this.#next % addresses.length])
      this.#next += 1
    }
    return round
  }

  #send (addresses: string[], asksForAnswer: boolean): void {
    this.#sequence += 1
    this.#heartbeats.send({ ...this.#options.heartbeat(), sequence: this.#sequence, asksForAnswer }, addresses)
  }

  #hear (heartbeat: Heartbeat): void {
    if (this.#stop.signal.aborted) return
    const regained = this.#options.table.hear(heartbeat, this.#options.clock.now())
    if (regained) this.#options.logger.info({ event: 'dependency-regained', dependency: 'gateway', peer: heartbeat.sender.peerAddress, incarnation: heartbeat.sender.incarnation })
    this.#options.onHeartbeat(heartbeat)
    if (heartbeat.asksForAnswer) this.#send([heartbeat.sender.peerAddress], false)
  }

  /** Fetches the agreement and the targets that another gateway knows. */
  async fetchState (peerAddress: string): Promise<void> {
    if (this.#fetching) return
    this.#fetching = true
    try {
      this.#options.onState(await this.#client.call(peerAddress, 'FetchState', this.#options.known(), STATE_TIMEOUT_MS))
    } catch (error) {
      this.#options.logger.warn({ event: 'state-fetch-failed', peer: peerAddress, reason: (error as Error).message })
    } finally {
      this.#fetching = false
    }
  }
}

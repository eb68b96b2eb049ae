import type * as decisions from '@acaciaweir/decisions'
import * as platform from '@acaciaweir/platform'
import * as routers from '@acaciaweir/routers'
import * as runtime from '@acaciaweir/runtime'
import * as incarnations from './incarnation.js'
import * as ledgers from './ledger.js'
import * as logs from './record-log.js'
import type * as settingsTypes from './settings.js'

/** Dependencies that all incarnations of one router share. */
export interface IncarnationFactoryOptions {
  settings: settingsTypes.Settings
  platform: platform.platformClient.PlatformClient
  peers: routers.peerClient.PeerClient
  clock: decisions.clock.Clock
  logger: runtime.logging.Logger
  /** Id of this process. */
  process: string
  peerAddress: () => string
  limitsOf: (budget: string) => decisions.ledgerTypes.BudgetLimits | undefined
  addressOf: (incarnation: string) => string | undefined
  /** Called once per incarnation, when another router has sealed it. */
  onSealed: (incarnation: string) => void
}

/** Creates an incarnation with a new id, record log and ledger. */
export function createIncarnation (options: IncarnationFactoryOptions): incarnations.Incarnation {
  const { settings, clock, logger, peers } = options
  const id = incarnations.newIncarnationId(settings.host)
  const log: logs.RecordLog = new logs.RecordLog({
    owner: { incarnation: id, host: settings.host, availabilityZone: settings.availabilityZone, process: options.process, peerAddress: options.peerAddress },
    platform: options.platform,
    peers,
    clock,
    logger,
    journalIntervalMs: settings.journalIntervalMs,
    headroom: () => ledger.headroom(settings.unjournaledShare),
    onSealed: () => { options.onSealed(id) }
  })
  const ledger = new ledgers.Ledger({
    incarnation: id,
    platform: options.platform,
    peers,
    clock,
    logger,
    policy: {
      horizonSeconds: settings.allotmentHorizonSeconds,
      shareOfRemaining: settings.allotmentShare,
      minimumTokens: settings.allotmentMinimumTokens
    },
    limitsOf: options.limitsOf,
    addressOf: options.addressOf,
    recordBudget: (budget) => { log.recordBudget(budget) }
  })
  return { id, log, ledger, admittingClaims: new Set(), refusedClaims: new Set(), unprovenWithdrawals: new Set() }
}

import * as decisions from '@acaciaweir/decisions'
import type * as platform from '@acaciaweir/platform'
import * as adapter from '@acaciaweir/platform-adapter'
import * as watches from './object-watch.js'

/** Origin of an agreement, as logged. */
export const AgreementSource = { store: 'store', peer: 'peer' } as const
export type AgreementSource = typeof AgreementSource[keyof typeof AgreementSource]

/** Keeps the newest agreement (the operators' configuration) from the store or from another gateway. Its version never decreases. */
export class ConfigurationWatch extends watches.ObjectWatch {
  readonly #onAgreement: (table: decisions.routeTable.RouteTable, source: AgreementSource) => void
  readonly #clock: decisions.clock.Clock
  readonly #history = new decisions.agreementChanges.ChangeHistory()
  #table: decisions.routeTable.RouteTable | undefined
  #inForceSince = -Infinity

  constructor (options: Omit<watches.ObjectWatchOptions, 'kind'>, onAgreement: (table: decisions.routeTable.RouteTable, source: AgreementSource) => void) {
    super({ ...options, kind: adapter.objectKinds.ObjectKind.configuration })
    this.#clock = options.clock
    this.#onAgreement = onAgreement
  }

  /** Route table of the agreement in force; undefined before the first agreement. */
  get routeTable (): decisions.routeTable.RouteTable | undefined {
    return this.#table
  }

  /** Version of the agreement in force; 0 before the first. */
  get version (): number {
    return this.#table?.agreement.version ?? 0
  }

  /** Returns what the agreement in force changes, and for how long it has been in force, in milliseconds. */
  changes (): decisions.agreementChanges.AgreementChanges & { inForceMs: number } {
    return { ...this.#history.changes(), inForceMs: Math.round(this.#clock.now() - this.#inForceSince) }
  }

  /** Puts an agreement into force and calls the callback, if it is newer than the one in force. */
  applyIfNewer (agreement: decisions.agreementTypes.Agreement, source: AgreementSource): void {
    if (this.#table !== undefined && agreement.version <= this.#table.agreement.version) return
    this.logger.info({ event: 'agreement-in-force', version: agreement.version, previous: this.version, source, routes: agreement.routes.length, accounts: agreement.accounts?.length })
    if (source === AgreementSource.store) this.#logFindings(agreement)
    const table = new decisions.routeTable.RouteTable(agreement)
    if (this.#table !== undefined) this.#history.record(this.#table, table)
    this.#table = table
    this.#inForceSince = this.#clock.now()
    this.#onAgreement(this.#table, source)
  }

  protected override applyList (objects: platform.objectStore.StoreObject[]): void {
    for (const object of objects) this.#applyObject(object)
  }

  protected override applyEvents (events: platform.objectStore.ObjectEvent[]): void {
    for (const event of events) {
      if (!event.removed) this.#applyObject(event.object)
    }
  }

  /** Names the rules that an agreement breaks. The gateways that get it from this one do not repeat them. */
  #logFindings (agreement: decisions.agreementTypes.Agreement): void {
    const findings = decisions.configurationRules.findAll(decisions.agreementRules.agreementRules, agreement)
    if (findings.length > 0) this.logger.warn({ event: 'agreement-findings', version: agreement.version, rules: [...new Set(findings.map(({ rule }) => rule))], findings: findings.length })
  }

  #applyObject (object: platform.objectStore.StoreObject): void {
    if (object.name !== adapter.objectKinds.CONFIGURATION_NAME) return
    try {
      this.applyIfNewer(adapter.configuration.decodeConfiguration(object.value), AgreementSource.store)
    } catch (error) {
      this.logger.error({ event: 'agreement-refused', revision: object.revision, inForce: this.version, reason: (error as Error).message })
    }
  }
}

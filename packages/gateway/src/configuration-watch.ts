import * as decisions from '@acaciaweir/decisions'
import type * as platform from '@acaciaweir/platform'
import * as adapter from '@acaciaweir/platform-adapter'
import * as watches from './object-watch.js'

/** Where an agreement came from. */
export const AgreementSource = { store: 'store', peer: 'peer' } as const
export type AgreementSource = typeof AgreementSource[keyof typeof AgreementSource]

/** Keeps the newest agreement, from the store or from another gateway. Never goes back to an older one. */
export class ConfigurationWatch extends watches.ObjectWatch {
  readonly #onAgreement: (table: decisions.routeTable.RouteTable) => void
  #table: decisions.routeTable.RouteTable | undefined

  constructor (options: Omit<watches.ObjectWatchOptions, 'kind'>, onAgreement: (table: decisions.routeTable.RouteTable) => void) {
    super({ ...options, kind: adapter.objectKinds.ObjectKind.configuration })
    this.#onAgreement = onAgreement
  }

  /** The agreement in force; undefined before the first. */
  get table (): decisions.routeTable.RouteTable | undefined {
    return this.#table
  }

  get version (): number {
    return this.#table?.agreement.version ?? 0
  }

  /** Takes an agreement where it is newer than the one in force. */
  take (agreement: decisions.agreementTypes.Agreement, source: AgreementSource): void {
    if (this.#table !== undefined && agreement.version <= this.#table.agreement.version) return
    this.logger.info({ event: 'agreement-in-force', version: agreement.version, previous: this.version, source, routes: agreement.routes.length, accounts: agreement.accounts?.length })
    this.#table = new decisions.routeTable.RouteTable(agreement)
    this.#onAgreement(this.#table)
  }

  protected override useList (objects: platform.objectStore.StoreObject[]): void {
    for (const object of objects) this.#useObject(object)
  }

  protected override useEvents (events: platform.objectStore.ObjectEvent[]): void {
    for (const event of events) {
      if (!event.removed) this.#useObject(event.object)
    }
  }

  #useObject (object: platform.objectStore.StoreObject): void {
    if (object.name !== adapter.objectKinds.CONFIGURATION_NAME) return
    try {
      this.take(adapter.configuration.decodeConfiguration(object.value), AgreementSource.store)
    } catch (error) {
      this.logger.error({ event: 'agreement-refused', revision: object.revision, inForce: this.version, reason: (error as Error).message })
    }
  }
}

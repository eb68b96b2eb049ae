import * as changes from './agreement-changes.js'
import type * as routeTables from './route-table.js'
import type * as types from './agreement-types.js'

/** Time before the bound at which requests are no longer handled by an old agreement, in milliseconds. The report of a newer one takes a while. */
const MARGIN_MS = 1000

/** Least time for which a newer agreement may be known here but not in force, in milliseconds. A router that was cut off gets the time to fetch it. */
const MINIMUM_OUTDATED_MS = 500

/** Time after which an agreement that cannot be fetched is given up, in milliseconds. Its version may have been announced by mistake. */
const MAXIMUM_WAIT_FOR_AGREEMENT_MS = 10_000

interface Report {
  version: number
  reportedAt: number
  inForceSince: number
  changes: changes.AgreementChanges
}

/**
 * Decides which requests must not be handled by the agreement in force, as other routers have had a newer one for too long. An overloaded
 * router that rejects them gets the time to fetch it. Times are monotonic, in milliseconds.
 */
export class OutdatedAgreement {
  readonly #allowedMs: number
  /** Newer agreements, in ascending order of versions. */
  #reports: Report[] = []

  /** `applyMs` is the time within which an agreement has to be in force. */
  constructor (applyMs: number) {
    this.#allowedMs = Math.max(MINIMUM_OUTDATED_MS, applyMs - MARGIN_MS)
  }

  /** Records that another router has a newer agreement, which it has had in force for the given time. */
  recordReport (version: number, inForceMs: number, reported: changes.AgreementChanges, now: number): void {
    const known = this.#reports.find((report) => report.version === version)
    if (known !== undefined) {
      known.inForceSince = Math.min(known.inForceSince, now - inForceMs)
      if (known.changes.sinceVersions.length < reported.sinceVersions.length) known.changes = reported
      return
    }
    this.#reports.push({ version, reportedAt: now, inForceSince: now - inForceMs, changes: reported })
    this.#reports.sort((left, right) => left.version - right.version)
  }

  /** Returns true if no request may be handled by the agreement in force, as nothing is known of what the newer one changes. */
  isForAll (versionInForce: number, now: number): boolean {
    return this.#isOutdated(versionInForce, now) && this.#reportsSince(versionInForce, now).length === 0
  }

  /** Returns true if a request on a route and with a key must not be handled by the table in force: a newer one may handle it in another way. */
  isFor (table: routeTables.RouteTable, route: types.Route | undefined, key: string | undefined, now: number): boolean {
    const { version } = table.agreement
    if (!this.#isOutdated(version, now)) return false
    if (route === undefined) return true
    const hasAccounts = table.agreement.accounts !== undefined
    const isAccountUnknown = key === undefined ? !route.anonymous : table.accountOfKey(key) === undefined
    if (hasAccounts && isAccountUnknown) return true
    return this.#reportsSince(version, now).every((report) => changes.isAffected(report.changes, route, key))
  }

  #isOutdated (versionInForce: number, now: number): boolean {
    this.#reports = this.#reports.filter(({ version }) => version > versionInForce)
    return this.#reports.some((report) => this.#isDue(report, now)) && now - this.#reports[0].reportedAt < MAXIMUM_WAIT_FOR_AGREEMENT_MS
  }

  #isDue ({ reportedAt, inForceSince }: Report, now: number): boolean {
    return now > Math.max(reportedAt + MINIMUM_OUTDATED_MS, inForceSince + this.#allowedMs)
  }

  /** Returns the reports that tell the changes since the version in force, of the newest version that has to be in force or a later one. */
  #reportsSince (versionInForce: number, now: number): Report[] {
    const newestDue = this.#reports.filter((report) => this.#isDue(report, now)).at(-1)
    return this.#reports.filter(({ version, changes: { sinceVersions } }) => version >= (newestDue?.version ?? 0) && sinceVersions.includes(versionInForce))
  }
}

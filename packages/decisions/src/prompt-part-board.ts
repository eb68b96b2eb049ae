/** Crashes without a complete answer since, after which a part that was never answered is held back. */
const CRASHES_TO_HOLD_UNPROVEN = 3

/** The same for a part that has been answered before: only a change at the targets can make it crash them. */
const CRASHES_TO_HOLD_PROVEN = 10

/** Crashes after which a lost request with a part that was never answered is not sent again. */
const CRASHES_TO_STOP_REPEATS = 2

/** Least time between two crashes that count separately, in milliseconds. A failure of a whole group ends several targets at once. */
const INDEPENDENT_CRASH_GAP_MS = 250

/** Time within which lost requests at one target belong to the same crash, in milliseconds. */
const SAME_CRASH_MS = 2000

/** Time after the last crash until one request may test a part that is held back, in milliseconds. */
const FIRST_TEST_DELAY_MS = 30_000

/** Growth of that time with each test that crashed a target. */
const TEST_DELAY_FACTOR = 20

/** The same time for a request without the other held part that explains all crashes of this one, in milliseconds. */
const EXPLAINED_TEST_DELAY_MS = 1000

/** Delay of a test for each router that comes before this one, in milliseconds. Meanwhile the routers hear of a test that has started. */
const TEST_STAGGER_MS = 1000

/** Time after the last crash for which a part that is not held back stays suspected, in milliseconds. */
const SUSPICION_LIFETIME_MS = 600_000

/** Time for which a router reports a crash under a part that is not held back, in milliseconds. The others remember it longer. */
const SUSPICION_REPORT_MS = 2000

/** Time for which routers are told that a suspected part was answered, in milliseconds. */
const ANSWER_REPORT_MS = 10_000

const MAXIMUM_SUSPECTS = 500
const MAXIMUM_PROVEN_PARTS = 4000
const MAXIMUM_CRASHES_PER_PART = 12
const MAXIMUM_REPORTS = 64

/** A target that ended while a request with the part ran on it. */
interface Crash {
  target: string
  /** Monotonic time in milliseconds. */
  at: number
  /** Router whose request was lost. */
  seenBy: string
}

interface Suspect {
  /** Crashes since the last complete answer, the oldest first. */
  crashes: Crash[]
  isHeld: boolean
  /** Start of the last test of a held part. */
  testedAt: number
  failedTests: number
}

/** What one router knows of a part, for the others. */
export interface PromptPartReport {
  part: string
  crashes: Array<{ target: string, ageMs: number, seenBy: string }>
  /** Time since a request with the part was answered completely, in milliseconds; -1 if none is known. */
  answeredAgeMs: number
  /** Time since the last test of the held part started, in milliseconds; -1 if there was none. */
  testedAgeMs: number
  failedTests: number
}

/** Evidence for which a part is held back. */
export interface HeldPart {
  part: string
  crashes: number
  /** Time since the last crash, in milliseconds. */
  newestCrashAgeMs: number
  /** Routers whose requests were lost. */
  seenBy: string[]
  /** Time until one request may test the part, in milliseconds. */
  retryAfterMs: number
}

/** Informs of changes of the held parts. */
export interface PromptPartListener {
  onHeld: (evidence: HeldPart) => void
  onReleased: (part: string) => void
}

/**
 * Decides which shared prompt parts are held back because targets crash under them. A part is suspected when a request with it is lost as its
 * target ends, and cleared by any complete answer: a part that crashes every target is never answered. Routers exchange reports, so that a part
 * is held back by the crashes that all of them saw. Times are monotonic milliseconds.
 */
export class PromptPartBoard {
  readonly #self: string
  readonly #listener: PromptPartListener
  readonly #suspects = new Map<string, Suspect>()
  /** Time of the last complete answer by part, the least recent first. */
  readonly #provenAt = new Map<string, number>()
  /** Parts that were answered for an account and not lost by it since. */
  readonly #provenForAccount = new Map<string, number>()
  /** Time until which the complete answer of a part is reported. */
  readonly #answerReportedUntil = new Map<string, number>()

  constructor (self: string, listener: PromptPartListener) {
    this.#self = self
    this.#listener = listener
  }

  /** Number of parts that are held back. */
  get heldParts (): number {
    return [...this.#suspects.values()].filter((suspect) => suspect.isHeld).length
  }

  /** Records that the connection of a request ended before its answer was complete. Returns true if other routers should hear of it at once. */
  recordLoss (parts: readonly string[], account: string, target: string, now: number): boolean {
    let isNews = false
    for (const part of new Set(parts)) {
      this.#provenForAccount.delete(accountKey(account, part))
      const suspect = this.#suspectFor(part)
      const wasTested = suspect.isHeld && suspect.testedAt > (suspect.crashes.at(-1)?.at ?? -Infinity)
      if (!addCrash(suspect, { target, at: now, seenBy: this.#self })) continue
      if (wasTested) suspect.failedTests += 1
      isNews ||= this.#isReported(part, suspect, now)
      this.#updateHold(part, suspect, now)
    }
    this.#bound()
    return isNews
  }

  /** Records a complete answer to a request, which clears its parts. Returns true if other routers should hear of it at once. */
  recordAnswer (parts: readonly string[], account: string, now: number): boolean {
    let isNews = false
    for (const part of new Set(parts)) {
      setNewest(this.#provenForAccount, accountKey(account, part), now, MAXIMUM_PROVEN_PARTS)
      setNewest(this.#provenAt, part, now, MAXIMUM_PROVEN_PARTS)
      const suspect = this.#suspects.get(part)
      if (suspect === undefined) continue
      isNews ||= suspect.isHeld
      this.#answerReportedUntil.set(part, now + ANSWER_REPORT_MS)
      this.#clear(part, suspect)
    }
    return isNews
  }

  /**
   * Returns the evidence for which a request must be refused, or undefined if it may be sent. `rank` is the position of this router in an order of
   * all routers for a part, from 0. A request that tests a held part is let through and recorded as the test.
   */
  refusal (parts: readonly string[], account: string, rank: (part: string) => number, now: number): HeldPart | undefined {
    const held = parts.filter((part) => this.#suspects.get(part)?.isHeld === true && !this.#provenForAccount.has(accountKey(account, part)))
    const refusals = held.map((part) => this.#evidence(part, parts, rank(part), now)).filter((evidence) => evidence.retryAfterMs > 0)
    if (refusals.length > 0) return refusals.reduce((longest, evidence) => evidence.retryAfterMs > longest.retryAfterMs ? evidence : longest)
    for (const part of held) this.#suspectFor(part).testedAt = now
    return undefined
  }

  /** Returns false if a request that was lost must not be sent to another target, because it would test a suspected part again. */
  mayRepeat (parts: readonly string[]): boolean {
    return parts.every((part) => {
      const suspect = this.#suspects.get(part)
      if (suspect === undefined) return true
      return !suspect.isHeld && (this.#provenAt.has(part) || countIndependent(suspect.crashes) < CRASHES_TO_STOP_REPEATS)
    })
  }

  /** Returns what the other routers should know, the strongest evidence first. */
  reports (now: number): PromptPartReport[] {
    this.#expire(now)
    const suspected = [...this.#suspects].filter(([part, suspect]) => this.#isReported(part, suspect, now))
    suspected.sort(([, left], [, right]) => right.crashes.length - left.crashes.length || (right.crashes.at(-1)?.at ?? 0) - (left.crashes.at(-1)?.at ?? 0))
    const answered = [...this.#answerReportedUntil.keys()].filter((part) => !suspected.some(([name]) => name === part))
    return [...answered, ...suspected.map(([part]) => part)].slice(0, MAXIMUM_REPORTS).map((part) => this.#report(part, now))
  }

  /** Takes over what another router reported. */
  merge (reports: readonly PromptPartReport[], now: number): void {
    for (const report of reports) {
      if (report.answeredAgeMs >= 0) this.#mergeAnswer(report.part, now - report.answeredAgeMs)
      else if (this.#provenAt.has(report.part)) this.#answerReportedUntil.set(report.part, now + ANSWER_REPORT_MS)
      this.#mergeCrashes(report, now)
    }
    this.#bound()
  }

  #mergeAnswer (part: string, answeredAt: number): void {
    setNewest(this.#provenAt, part, Math.max(answeredAt, this.#provenAt.get(part) ?? -Infinity), MAXIMUM_PROVEN_PARTS)
    const suspect = this.#suspects.get(part)
    if (suspect === undefined) return
    suspect.crashes = suspect.crashes.filter((crash) => crash.at > answeredAt)
    if (suspect.crashes.length === 0) this.#clear(part, suspect)
  }

  #mergeCrashes (report: PromptPartReport, now: number): void {
    const answeredAt = this.#provenAt.get(report.part) ?? -Infinity
    const crashes = report.crashes.map(({ target, ageMs, seenBy }) => ({ target, at: now - ageMs, seenBy })).filter((crash) => crash.at > answeredAt)
    if (crashes.length === 0) return
    const suspect = this.#suspectFor(report.part)
    for (const crash of crashes) addCrash(suspect, crash)
    if (report.testedAgeMs >= 0) suspect.testedAt = Math.max(suspect.testedAt, now - report.testedAgeMs)
    suspect.failedTests = Math.max(suspect.failedTests, report.failedTests)
    this.#updateHold(report.part, suspect, now)
  }

  #report (part: string, now: number): PromptPartReport {
    const suspect = this.#suspects.get(part)
    const answeredAt = this.#provenAt.get(part)
    return {
      part,
      crashes: (suspect?.crashes ?? []).filter((crash) => suspect?.isHeld === true || this.#isOwnRecent(crash, now)).map(({ target, at, seenBy }) => ({ target, ageMs: Math.round(now - at), seenBy })),
      answeredAgeMs: answeredAt === undefined ? -1 : Math.round(now - answeredAt),
      testedAgeMs: suspect === undefined || suspect.testedAt === -Infinity ? -1 : Math.round(now - suspect.testedAt),
      failedTests: suspect?.failedTests ?? 0
    }
  }

  /** Suspicions of proven parts are common while targets fail, and matter only once they add up. */
  #isReported (part: string, suspect: Suspect, now: number): boolean {
    if (suspect.isHeld) return true
    if (!suspect.crashes.some((crash) => this.#isOwnRecent(crash, now))) return false
    return !this.#provenAt.has(part) || suspect.crashes.length >= CRASHES_TO_HOLD_PROVEN / 2
  }

  /** Each router reports its own crashes to all others, so that suspicions need not be passed on. */
  #isOwnRecent (crash: Crash, now: number): boolean {
    return crash.seenBy === this.#self && now - crash.at <= SUSPICION_REPORT_MS
  }

  #crashesToHold (part: string): number {
    return this.#provenAt.has(part) ? CRASHES_TO_HOLD_PROVEN : CRASHES_TO_HOLD_UNPROVEN
  }

  #evidence (part: string, requestParts: readonly string[], rank: number, now: number): HeldPart {
    const suspect = this.#suspectFor(part)
    const lastCrashAt = suspect.crashes.at(-1)?.at ?? now
    const delayMs = this.#isExplained(part, suspect, requestParts) ? EXPLAINED_TEST_DELAY_MS : FIRST_TEST_DELAY_MS * TEST_DELAY_FACTOR ** suspect.failedTests
    const dueAt = Math.max(lastCrashAt, suspect.testedAt) + delayMs + rank * TEST_STAGGER_MS
    return {
      part,
      crashes: countIndependent(suspect.crashes),
      newestCrashAgeMs: Math.round(now - lastCrashAt),
      seenBy: [...new Set(suspect.crashes.map((crash) => crash.seenBy))],
      retryAfterMs: Math.max(0, dueAt - now)
    }
  }

  /** Returns true if another held part that the request lacks was there at each crash of this one, so that it may be the cause alone. */
  #isExplained (part: string, suspect: Suspect, requestParts: readonly string[]): boolean {
    if (suspect.failedTests > 0) return false
    const counted = suspect.crashes.slice(-this.#crashesToHold(part))
    return [...this.#suspects].some(([other, { isHeld, crashes }]) =>
      isHeld && !requestParts.includes(other) && counted.every((crash) => crashes.some((known) => isSameCrash(known, crash))))
  }

  #suspectFor (part: string): Suspect {
    let suspect = this.#suspects.get(part)
    if (suspect === undefined) {
      suspect = { crashes: [], isHeld: false, testedAt: -Infinity, failedTests: 0 }
      this.#suspects.set(part, suspect)
    }
    return suspect
  }

  #updateHold (part: string, suspect: Suspect, now: number): void {
    if (suspect.isHeld || countIndependent(suspect.crashes) < this.#crashesToHold(part)) return
    suspect.isHeld = true
    this.#listener.onHeld(this.#evidence(part, [part], 0, now))
  }

  #clear (part: string, suspect: Suspect): void {
    this.#suspects.delete(part)
    if (suspect.isHeld) this.#listener.onReleased(part)
  }

  #expire (now: number): void {
    for (const [part, until] of this.#answerReportedUntil) {
      if (until < now) this.#answerReportedUntil.delete(part)
    }
    for (const [part, suspect] of this.#suspects) {
      const lastCrashAt = suspect.crashes.at(-1)?.at ?? -Infinity
      if (!suspect.isHeld && now - lastCrashAt > SUSPICION_LIFETIME_MS) this.#suspects.delete(part)
    }
  }

  /** Drops the suspects with the least evidence, and of these the oldest, where there are too many. */
  #bound (): void {
    if (this.#suspects.size <= MAXIMUM_SUSPECTS) return
    const weakestFirst = [...this.#suspects].sort(([, left], [, right]) => left.crashes.length - right.crashes.length || (left.crashes.at(-1)?.at ?? 0) - (right.crashes.at(-1)?.at ?? 0))
    for (const [part, suspect] of weakestFirst.slice(0, this.#suspects.size - MAXIMUM_SUSPECTS)) this.#clear(part, suspect)
  }
}

function accountKey (account: string, part: string): string {
  return `${part} ${account}`
}

function isSameCrash (left: Crash, right: Crash): boolean {
  return left.target === right.target && Math.abs(left.at - right.at) < SAME_CRASH_MS
}

/** Adds a crash in order of time. Returns false if it is known already. */
function addCrash (suspect: Suspect, crash: Crash): boolean {
  if (suspect.crashes.some((known) => isSameCrash(known, crash))) return false
  suspect.crashes.push(crash)
  suspect.crashes.sort((left, right) => left.at - right.at)
  if (suspect.crashes.length > MAXIMUM_CRASHES_PER_PART) suspect.crashes.shift()
  return true
}

/** Counts the crashes that are far enough apart to be independent. */
function countIndependent (crashes: readonly Crash[]): number {
  let count = 0
  let lastCountedAt = -Infinity
  for (const { at } of crashes) {
    if (at - lastCountedAt < INDEPENDENT_CRASH_GAP_MS) continue
    count += 1
    lastCountedAt = at
  }
  return count
}

/** Sets an entry as the newest one of a map and drops the oldest one if the map is full. */
function setNewest (map: Map<string, number>, key: string, value: number, maximumSize: number): void {
  map.delete(key)
  map.set(key, value)
  if (map.size <= maximumSize) return
  const [oldest] = map.keys()
  map.delete(oldest)
}

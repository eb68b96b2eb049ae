import * as decisions from '@acaciaweir/decisions'
import * as platform from '@acaciaweir/platform'
import * as reports from '@acaciaweir/command-line'
import * as zod from 'zod'
import * as billCheck from './bill-check.js'
import * as callers from './trace-caller.js'
import type * as fleets from './fleet.js'
import type * as traces from './trace-format.js'

/** Time after which a leaving target must get no new work, in milliseconds. */
export const LEAVING_GRACE_MS = 3000

/** Price of a call to the example plain service, in tokens. */
const SERVICE_TOKENS = 10

const servedSchema = zod.object({
  requestId: zod.string(),
  tag: zod.string(),
  promptTokens: zod.number().optional(),
  completionTokens: zod.number().optional(),
  startedAt: zod.number(),
  finished: zod.boolean().optional()
})

type Served = zod.infer<typeof servedSchema> & billCheck.ServedRun & { target: string }

/** What a replay saw, beside the requests. */
export interface Observations {
  leavingSince: Map<string, number>
  configurationReverts: number
  configurationMs: number
  operatorConflicts: number
}

/** Figures of one replay, measured at callers, targets and the platform. */
export interface Verdict {
  trace: string
  seed: number
  held: boolean
  broken: string[]
  requests: number
  answeredWhole: number
  refused: number
  falseRefusals: number
  overspendTokens: number
  billedTwice: number
  unbilled: number
  wrongBills: number
  ranTwice: number
  notRunButRan: number
  wrongAnswers: number
  cutAsWhole: number
  newWorkAfterLeaving: number
  configurationReverts: number
  configurationMs: number
  unknown: number
  unfinished: number
  usableBudgetShare: number
  servedTokens: number
  platformCalls: Record<string, number>
  problems: Record<string, number>
  /** A few requests that broke a promise, with what targets and bills say of them. */
  evidence: unknown[]
}

/** Requests shown as evidence. */
const EVIDENCE_LIMIT = 5

/** Judges a replay by what callers, targets and the platform saw. */
export async function judge (trace: traces.Trace, seed: number, fleet: fleets.Fleet, requests: callers.RequestReport[], budget: callers.BudgetView, seen: Observations): Promise<Verdict> {
  const served = await readServed(fleet)
  const bills = await reports.spendReport.readBills(fleet.client)
  const byIndex = groupByIndex(served)
  const measured = {
    requests: requests.length,
    answeredWhole: countOf(requests, (request) => request.outcome === callers.CallerOutcome.whole),
    refused: countOf(requests, (request) => request.outcome === callers.CallerOutcome.refused),
    falseRefusals: countOf(requests, (request) => request.falselyRefused),
    overspendTokens: overspend(fleet, requests, byIndex, budget),
    ...judgeBills(requests, bills, served),
    ranTwice: countOf(requests, (request) => request.call === 'service-once' && (byIndex.get(request.index)?.length ?? 0) > 1),
    notRunButRan: notRunButRan(requests, served),
    wrongAnswers: countOf(requests, (request) => request.wrongAnswer),
    cutAsWhole: countOf(requests, (request) => request.cutAsWhole),
    newWorkAfterLeaving: countOf(served, (run) => run.startedAt > (seen.leavingSince.get(run.target) ?? Infinity) + LEAVING_GRACE_MS),
    configurationReverts: seen.configurationReverts,
    configurationMs: seen.configurationMs,
    unknown: countOf(requests, (request) => request.outcome === callers.CallerOutcome.unknown),
    unfinished: countOf(requests, (request) => request.outcome === callers.CallerOutcome.failed),
    servedTokens: sum(served, (run) => run.tokens)
  }
  const usableBudgetShare = measured.servedTokens / budget.totalTokens
  const broken = brokenOutcomes(trace.header.outcomes, { ...measured, usableBudgetShare }, requests)
  return {
    trace: trace.header.trace,
    seed,
    held: broken.length === 0,
    broken,
    ...measured,
    usableBudgetShare,
    platformCalls: await fleet.platformCounts(),
    problems: countProblems(requests),
    evidence: await evidenceOf(fleet, requests, byIndex, bills)
  }
}

async function readServed (fleet: fleets.Fleet): Promise<Served[]> {
  const all: Served[] = []
  for (const target of fleet.targets) {
    const { beforeKill, sinceStart } = await fleet.served(target)
    for (const [index, entry] of [...beforeKill, ...sinceStart].entries()) {
      const run = servedSchema.parse(entry)
      const tokens = target.kind === 'service' ? SERVICE_TOKENS : (run.promptTokens ?? 0) + (run.completionTokens ?? 0)
      all.push({ ...run, target: target.id, tokens, cutByKill: index < beforeKill.length && run.finished === false })
    }
  }
  return all
}

function groupByIndex (served: Served[]): Map<number, Served[]> {
  const groups = new Map<number, Served[]>()
  for (const run of served) {
    const index = Number(run.tag.split('.')[0])
    groups.set(index, [...groups.get(index) ?? [], run])
  }
  return groups
}

function overspend (fleet: fleets.Fleet, requests: callers.RequestReport[], byIndex: Map<number, Served[]>, budget: callers.BudgetView): number {
  let total = 0
  let beyond = 0
  for (const account of fleet.accounts) {
    const own = requests.filter((request) => request.account === account)
    const tokens = sum(own, (request) => sum(byIndex.get(request.index) ?? [], (run) => run.tokens))
    total += tokens
    beyond += Math.max(0, tokens - budget.capTokens)
  }
  return beyond + Math.max(0, total - budget.totalTokens)
}

function judgeBills (requests: callers.RequestReport[], bills: decisions.journalTypes.Bill[], served: Served[]): Pick<Verdict, 'billedTwice' | 'unbilled' | 'wrongBills'> {
  const byKey = new Map(bills.map((bill) => [decisions.journal.claimName(bill.account, bill.key), bill]))
  const byRequest = new Map(served.map((run) => [run.requestId, run]))
  let billedTwice = 0
  let unbilled = 0
  let wrongBills = 0
  for (const request of requests) {
    const own = request.keys.map((key) => byKey.get(decisions.journal.claimName(request.account, key))).filter((bill) => bill !== undefined)
    if (own.length > 1) billedTwice += 1
    if (own.length === 0 && request.outcome === callers.CallerOutcome.whole) unbilled += 1
    wrongBills += countOf(own, (bill) => !billCheck.isRightBill(bill, byRequest.get(bill.requestId), request))
  }
  return { billedTwice, unbilled, wrongBills }
}

function notRunButRan (requests: callers.RequestReport[], served: Served[]): number {
  const ran = new Set(served.map((run) => run.tag))
  return sum(requests, (request) => countOf(request.notRunTags, (tag) => ran.has(tag)))
}

function brokenOutcomes (outcomes: traces.Outcomes, verdict: Pick<Verdict, 'usableBudgetShare' | 'falseRefusals' | 'unfinished' | 'unknown'> & Record<string, number>, requests: callers.RequestReport[]): string[] {
  const broken: string[] = []
  const exact = ['overspendTokens', 'billedTwice', 'unbilled', 'wrongBills', 'ranTwice', 'notRunButRan', 'wrongAnswers', 'cutAsWhole', 'newWorkAfterLeaving', 'configurationReverts', 'configurationMs'] as const
  for (const name of exact) {
    if (verdict[name] > outcomes[name]) broken.push(`${name}: ${verdict[name]} > ${outcomes[name]}`)
  }
  const total = Math.max(1, requests.length)
  const once = Math.max(1, countOf(requests, (request) => request.call === 'service-once'))
  if (verdict.falseRefusals / total > outcomes.falseRefusalShare) broken.push(`falseRefusalShare: ${verdict.falseRefusals / total} > ${outcomes.falseRefusalShare}`)
  if (verdict.unfinished / total > outcomes.unfinishedShare) broken.push(`unfinishedShare: ${verdict.unfinished / total} > ${outcomes.unfinishedShare}`)
  if (verdict.unknown / once > outcomes.unknownShare) broken.push(`unknownShare: ${verdict.unknown / once} > ${outcomes.unknownShare}`)
  if (verdict.usableBudgetShare < outcomes.leastUsableBudgetShare) broken.push(`leastUsableBudgetShare: ${verdict.usableBudgetShare} < ${outcomes.leastUsableBudgetShare}`)
  return broken
}

async function evidenceOf (fleet: fleets.Fleet, requests: callers.RequestReport[], byIndex: Map<number, Served[]>, bills: decisions.journalTypes.Bill[]): Promise<unknown[]> {
  const journals = (await fleet.client.list(platform.objectKeys.JOURNAL_PREFIX)).map((object) => object.value as decisions.journalTypes.Journal)
  const ranTwice = (request: callers.RequestReport): boolean => request.call === 'service-once' && (byIndex.get(request.index)?.length ?? 0) > 1
  const billsOf = (request: callers.RequestReport): decisions.journalTypes.Bill[] => bills.filter((bill) => bill.account === request.account && request.keys.includes(bill.key))
  const unbilled = (request: callers.RequestReport): boolean => request.outcome === callers.CallerOutcome.whole && billsOf(request).length === 0
  const wronglyBilled = (request: callers.RequestReport): boolean => billsOf(request).some((bill) => !billCheck.isRightBill(bill, byIndex.get(request.index)?.find((run) => run.requestId === bill.requestId), request))
  const suspicious = requests.filter((request) => ranTwice(request) || unbilled(request) || billsOf(request).length > 1 || wronglyBilled(request) || request.wrongAnswer || request.cutAsWhole)
  return suspicious.slice(0, EVIDENCE_LIMIT).map((request) => ({ request, served: byIndex.get(request.index) ?? [], bills: billsOf(request), journals: journalsOf(request, byIndex.get(request.index) ?? [], journals) }))
}

/** The journals of the incarnations that a request's keys and runs name. */
function journalsOf (request: callers.RequestReport, served: Served[], journals: decisions.journalTypes.Journal[]): unknown[] {
  const named = (journal: decisions.journalTypes.Journal): boolean => [...request.keys, ...served.map((run) => run.requestId)].some((text) => text.startsWith(journal.incarnation))
  return journals.filter(named).map(({ spent: _spent, open, bills: _bills, claims, ...rest }) => ({
    ...rest,
    open: Object.keys(open),
    claims: request.keys.map((key) => claims[decisions.journal.claimName(request.account, key)])
  }))
}

function countProblems (requests: callers.RequestReport[]): Record<string, number> {
  const counts: Record<string, number> = {}
  for (const request of requests) {
    if (request.problem === '') continue
    const name = `${request.outcome}/${request.problem}`
    counts[name] = (counts[name] ?? 0) + 1
  }
  return counts
}

function countOf<Value> (values: readonly Value[], isCounted: (value: Value) => boolean): number {
  return values.filter(isCounted).length
}

function sum<Value> (values: readonly Value[], measure: (value: Value) => number): number {
  return values.reduce((total, value) => total + measure(value), 0)
}

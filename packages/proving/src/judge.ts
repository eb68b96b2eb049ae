import * as decisions from '@acaciaweir/decisions'
import * as platform from '@acaciaweir/platform'
import * as reports from '@acaciaweir/command-line'
import * as zod from 'zod'
import * as billCheck from './bill-check.js'
import * as callers from './trace-caller.js'
import type * as fleets from './fleet.js'
import type * as traces from './trace-format.js'

/** Time for the routers to learn that a target leaves; a run that starts later counts as new work after leaving. */
export const LEAVING_GRACE_MS = 3000

/** Price of one call to the plain service of the example manifest. */
const SERVICE_CALL_TOKENS = 10

const servedRunSchema = zod.object({
  requestId: zod.string(),
  tag: zod.string(),
  promptTokens: zod.number().optional(),
  completionTokens: zod.number().optional(),
  startedAt: zod.number(),
  finished: zod.boolean().optional()
})

type RecordedRun = zod.infer<typeof servedRunSchema> & billCheck.ServedRun & { target: string }

/** Measurements of a replay other than those of its requests. */
export interface Observations {
  /** Unix time in milliseconds at which each leaving target was marked, by target ID. */
  leavingSince: Map<string, number>
  /** Times that a router rejected a key that it had accepted before. */
  configurationReverts: number
  /** Longest time until a change was in force on a router. */
  configurationMs: number
  operatorConflicts: number
}

/** Result of one replay, measured at callers, targets and the platform. The field names are those of the printed report. */
export interface Verdict {
  trace: string
  seed: number
  /** No stated outcome is violated. */
  held: boolean
  /** Violated outcomes with the measured value and the limit. */
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
  engineCrashes: number
  configurationMs: number
  unknown: number
  unfinished: number
  usableBudgetShare: number
  servedTokens: number
  platformCalls: Record<string, number>
  problems: Record<string, number>
  /** The first few faulty requests with their runs, bills and journals. */
  evidence: unknown[]
}

const MAXIMUM_EVIDENCE_REQUESTS = 5

/** Compares the requests, runs and bills of a replay with the outcomes that the trace states. */
export async function judge (trace: traces.Trace, seed: number, fleet: fleets.Fleet, requests: callers.RequestReport[], budget: callers.BudgetLimits, observations: Observations): Promise<Verdict> {
  const served = await readRecordedRuns(fleet)
  const bills = await reports.spendReport.readBills(fleet.client)
  const runsByIndex = groupByRequestIndex(served)
  const measured = {
    requests: requests.length,
    answeredWhole: countOf(requests, (request) => request.outcome === callers.CallerOutcome.whole),
    refused: countOf(requests, (request) => request.outcome === callers.CallerOutcome.refused),
    falseRefusals: countOf(requests, (request) => request.falselyRefused),
    overspendTokens: countOverspentTokens(fleet, requests, runsByIndex, budget),
    ...countBillErrors(requests, bills, served),
    ranTwice: countOf(requests, (request) => request.call === 'service-once' && (runsByIndex.get(request.index)?.length ?? 0) > 1),
    notRunButRan: countRunsDespiteRefusal(requests, served),
    wrongAnswers: countOf(requests, (request) => request.wrongAnswer),
    cutAsWhole: countOf(requests, (request) => request.cutAsWhole),
    newWorkAfterLeaving: countOf(served, (run) => run.startedAt > (observations.leavingSince.get(run.target) ?? Infinity) + LEAVING_GRACE_MS),
    configurationReverts: observations.configurationReverts,
    engineCrashes: fleet.engineCrashTimes.length,
    configurationMs: observations.configurationMs,
    unknown: countOf(requests, (request) => request.outcome === callers.CallerOutcome.unknown),
    unfinished: countOf(requests, (request) => request.outcome === callers.CallerOutcome.failed),
    servedTokens: sum(served, (run) => run.tokens)
  }
  const usableBudgetShare = measured.servedTokens / budget.totalTokens
  const broken = listBrokenOutcomes(trace.header.outcomes, { ...measured, usableBudgetShare }, requests)
  return {
    trace: trace.header.trace,
    seed,
    held: broken.length === 0,
    broken,
    ...measured,
    usableBudgetShare,
    platformCalls: await fleet.readPlatformCallCounts(),
    problems: countProblems(requests),
    evidence: await collectEvidence(fleet, requests, runsByIndex, bills)
  }
}

async function readRecordedRuns (fleet: fleets.Fleet): Promise<RecordedRun[]> {
  const all: RecordedRun[] = []
  for (const target of fleet.targets) {
    const { beforeKill, sinceStart } = await fleet.readServed(target)
    for (const [index, entry] of [...beforeKill, ...sinceStart].entries()) {
      const run = servedRunSchema.parse(entry)
      const tokens = target.kind === 'service' ? SERVICE_CALL_TOKENS : (run.promptTokens ?? 0) + (run.completionTokens ?? 0)
      all.push({ ...run, target: target.id, tokens, cutByKill: index < beforeKill.length && run.finished === false })
    }
  }
  return all
}

function groupByRequestIndex (served: RecordedRun[]): Map<number, RecordedRun[]> {
  const groups = new Map<number, RecordedRun[]>()
  for (const run of served) {
    const index = Number(run.tag.split('.')[0])
    groups.set(index, [...groups.get(index) ?? [], run])
  }
  return groups
}

function countOverspentTokens (fleet: fleets.Fleet, requests: callers.RequestReport[], runsByIndex: Map<number, RecordedRun[]>, budget: callers.BudgetLimits): number {
  let total = 0
  let overCap = 0
  for (const account of fleet.accounts) {
    const accountRequests = requests.filter((request) => request.account === account)
    const tokens = sum(accountRequests, (request) => sum(runsByIndex.get(request.index) ?? [], (run) => run.tokens))
    total += tokens
    overCap += Math.max(0, tokens - budget.capTokens)
  }
  return overCap + Math.max(0, total - budget.totalTokens)
}

function countBillErrors (requests: callers.RequestReport[], bills: decisions.journalTypes.Bill[], served: RecordedRun[]): Pick<Verdict, 'billedTwice' | 'unbilled' | 'wrongBills'> {
  const billsByKey = new Map(bills.map((bill) => [decisions.journal.claimName(bill.account, bill.key), bill]))
  const runsByRequestId = new Map(served.map((run) => [run.requestId, run]))
  let billedTwice = 0
  let unbilled = 0
  let wrongBills = 0
  for (const request of requests) {
    const requestBills = request.keys.map((key) => billsByKey.get(decisions.journal.claimName(request.account, key))).filter((bill) => bill !== undefined)
    if (requestBills.length > 1) billedTwice += 1
    if (requestBills.length === 0 && request.outcome === callers.CallerOutcome.whole) unbilled += 1
    wrongBills += countOf(requestBills, (bill) => !billCheck.isCorrectBill(bill, runsByRequestId.get(bill.requestId), request))
  }
  return { billedTwice, unbilled, wrongBills }
}

function countRunsDespiteRefusal (requests: callers.RequestReport[], served: RecordedRun[]): number {
  const runTags = new Set(served.map((run) => run.tag))
  return sum(requests, (request) => countOf(request.notRunTags, (tag) => runTags.has(tag)))
}

function listBrokenOutcomes (outcomes: traces.Outcomes, verdict: Pick<Verdict, 'usableBudgetShare' | 'falseRefusals' | 'unfinished' | 'unknown'> & Record<string, number>, requests: callers.RequestReport[]): string[] {
  const broken: string[] = []
  const upperLimits = ['overspendTokens', 'billedTwice', 'unbilled', 'wrongBills', 'ranTwice', 'notRunButRan', 'wrongAnswers', 'cutAsWhole', 'newWorkAfterLeaving', 'configurationReverts', 'engineCrashes', 'configurationMs'] as const
  for (const name of upperLimits) {
    if (verdict[name] > outcomes[name]) broken.push(`${name}: ${verdict[name]} > ${outcomes[name]}`)
  }
  const total = Math.max(1, requests.length)
  const atMostOnceCount = Math.max(1, countOf(requests, (request) => request.call === 'service-once'))
  if (verdict.falseRefusals / total > outcomes.falseRefusalShare) broken.push(`falseRefusalShare: ${verdict.falseRefusals / total} > ${outcomes.falseRefusalShare}`)
  if (verdict.unfinished / total > outcomes.unfinishedShare) broken.push(`unfinishedShare: ${verdict.unfinished / total} > ${outcomes.unfinishedShare}`)
  if (verdict.unknown / atMostOnceCount > outcomes.unknownShare) broken.push(`unknownShare: ${verdict.unknown / atMostOnceCount} > ${outcomes.unknownShare}`)
  if (verdict.usableBudgetShare < outcomes.leastUsableBudgetShare) broken.push(`leastUsableBudgetShare: ${verdict.usableBudgetShare} < ${outcomes.leastUsableBudgetShare}`)
  return broken
}

async function collectEvidence (fleet: fleets.Fleet, requests: callers.RequestReport[], runsByIndex: Map<number, RecordedRun[]>, bills: decisions.journalTypes.Bill[]): Promise<unknown[]> {
  const journals = (await fleet.client.list(platform.objectKeys.JOURNAL_PREFIX)).map((object) => object.value as decisions.journalTypes.Journal)
  const hasRunTwice = (request: callers.RequestReport): boolean => request.call === 'service-once' && (runsByIndex.get(request.index)?.length ?? 0) > 1
  const billsOf = (request: callers.RequestReport): decisions.journalTypes.Bill[] => bills.filter((bill) => bill.account === request.account && request.keys.includes(bill.key))
  const isUnbilled = (request: callers.RequestReport): boolean => request.outcome === callers.CallerOutcome.whole && billsOf(request).length === 0
  const isWronglyBilled = (request: callers.RequestReport): boolean => billsOf(request).some((bill) => !billCheck.isCorrectBill(bill, runsByIndex.get(request.index)?.find((run) => run.requestId === bill.requestId), request))
  const suspicious = requests.filter((request) => hasRunTwice(request) || isUnbilled(request) || billsOf(request).length > 1 || isWronglyBilled(request) || request.wrongAnswer || request.cutAsWhole)
  return suspicious.slice(0, MAXIMUM_EVIDENCE_REQUESTS).map((request) => ({ request, served: runsByIndex.get(request.index) ?? [], bills: billsOf(request), journals: journalsOf(request, runsByIndex.get(request.index) ?? [], journals) }))
}

/** Returns the journals of the incarnations that issued the request's key prefixes or request IDs, cut to the parts about the request. */
function journalsOf (request: callers.RequestReport, served: RecordedRun[], journals: decisions.journalTypes.Journal[]): unknown[] {
  const isNamed = (journal: decisions.journalTypes.Journal): boolean => [...request.keys, ...served.map((run) => run.requestId)].some((text) => text.startsWith(journal.incarnation))
  return journals.filter(isNamed).map(({ spent: _spent, open, bills: _bills, claims, ...rest }) => ({
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

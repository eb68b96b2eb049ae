import type * as types from './agreement-types.js'

/** What callers notice when one agreement replaces another. */
export interface AgreementNotice {
  name: 'version-not-newer' | 'route-gone' | 'key-withdrawn' | 'account-gone' | 'total-lowered' | 'budget-begins' | 'limit-lowered' | 'timeout-lowered' | 'key-required'
  text: string
}

/** Returns what callers notice of the change from the agreement in force to the next one. */
export function findNotices (inForce: types.Agreement, next: types.Agreement): AgreementNotice[] {
  return [...versionNotices(inForce, next), ...routeNotices(inForce, next), ...accountNotices(inForce, next), ...limitNotices(inForce, next)]
}

function versionNotices (inForce: types.Agreement, next: types.Agreement): AgreementNotice[] {
  if (next.version > inForce.version) return []
  return [{ name: 'version-not-newer', text: `version ${next.version} does not replace version ${inForce.version}: nothing changes` }]
}

function routeNotices (inForce: types.Agreement, next: types.Agreement): AgreementNotice[] {
  const nextRoutes = new Map(next.routes.map((route) => [routeKey(route), route]))
  return inForce.routes.flatMap((route): AgreementNotice[] => {
    const area = `${route.host}${route.pathPrefix}`
    const successor = nextRoutes.get(routeKey(route))
    if (successor === undefined) return [{ name: 'route-gone', text: `${area} is no route of its own any more: requests get 404, or go to a route with a shorter prefix` }]
    const notices: AgreementNotice[] = []
    if (successor.timeoutMs < route.timeoutMs) notices.push({ name: 'timeout-lowered', text: `requests to ${area} end after ${successor.timeoutMs} ms instead of ${route.timeoutMs} ms` })
    if (needsKey(route, inForce) === false && needsKey(successor, next)) notices.push({ name: 'key-required', text: `requests to ${area} without a key get 401` })
    return notices
  })
}

function accountNotices (inForce: types.Agreement, next: types.Agreement): AgreementNotice[] {
  const nextAccounts = new Map((next.accounts ?? []).map((account) => [account.name, account]))
  if (next.accounts === undefined) return []
  const nextKeys = new Set(next.accounts.flatMap((account) => account.keys))
  return (inForce.accounts ?? []).flatMap((account): AgreementNotice[] => {
    const successor = nextAccounts.get(account.name)
    if (successor === undefined) return [{ name: 'account-gone', text: `client account ${account.name} is gone` }, ...withdrawnKeys(account, nextKeys)]
    return [...withdrawnKeys(account, nextKeys), ...totalNotices(account, successor)]
  })
}

function withdrawnKeys (account: types.Account, nextKeys: ReadonlySet<string>): AgreementNotice[] {
  const count = account.keys.filter((key) => !nextKeys.has(key)).length
  return count === 0 ? [] : [{ name: 'key-withdrawn', text: `requests with ${count} of ${account.keys.length} keys of client account ${account.name} get 401` }]
}

function totalNotices ({ name, prepaidTokens }: types.Account, successor: types.Account): AgreementNotice[] {
  if (successor.prepaidTokens === undefined) return []
  if (prepaidTokens === undefined) return [{ name: 'budget-begins', text: `client account ${name} may spend ${successor.prepaidTokens} tokens from now on` }]
  if (successor.prepaidTokens >= prepaidTokens) return []
  return [{ name: 'total-lowered', text: `client account ${name} has ${successor.prepaidTokens} tokens instead of ${prepaidTokens}: requests get 402 once they are spent, at once if they are spent already` }]
}

function limitNotices (inForce: types.Agreement, next: types.Agreement): AgreementNotice[] {
  const fields: Array<[keyof types.CallerLimits, string]> = [['headerBytes', 'bytes of headers'], ['bodyBytes', 'bytes of a body'], ['headerTimeoutMs', 'ms for the headers'], ['idleTimeoutMs', 'ms of an idle connection']]
  return fields.filter(([field]) => next.limits[field] < inForce.limits[field]).map(([field, unit]) => ({ name: 'limit-lowered', text: `${next.limits[field]} ${unit} are allowed instead of ${inForce.limits[field]}` }))
}

function routeKey ({ host, pathPrefix }: types.Route): string {
  return `${host} ${pathPrefix}`
}

function needsKey (route: types.Route, agreement: types.Agreement): boolean {
  return agreement.accounts !== undefined && !route.anonymous
}

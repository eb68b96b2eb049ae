import type * as types from './agreement-types.js'
import * as rules from './configuration-rules.js'

const { Severity, duplicatesOf, violationsOf } = rules

type Rule = rules.ConfigurationRule<types.Agreement>

/** Rules about names that occur twice. */
const uniquenessRules: Rule[] = [
  {
    name: 'duplicate-route-name',
    severity: Severity.error,
    sentence: 'Each route has a name of its own.',
    findViolations: ({ routes }) => duplicatesOf('routes', routes, ['name'], (route) => route.name, (route) => `an earlier route is named ${route.name} too`)
  },
  {
    name: 'route-never-matches',
    severity: Severity.error,
    sentence: 'No two routes have the same host and path prefix: only the first of them ever gets requests.',
    findViolations: ({ routes }) => duplicatesOf('routes', routes, ['pathPrefix'], (route) => `${route.host} ${route.pathPrefix}`, (route, earlier) => `route ${route.name} never gets a request: ${earlier.name} has its host and path prefix`)
  },
  {
    name: 'duplicate-service-name',
    severity: Severity.error,
    sentence: 'Each service has a name of its own.',
    findViolations: ({ services }) => duplicatesOf('services', services, ['name'], (service) => service.name, (service) => `an earlier service is named ${service.name} too`)
  },
  {
    name: 'duplicate-account-name',
    severity: Severity.error,
    sentence: 'Each client account has a name of its own: two of one name would draw on one total.',
    findViolations: ({ accounts }) => duplicatesOf('accounts', accounts ?? [], ['name'], (account) => account.name, (account) => `an earlier client account is named ${account.name} too`)
  },
  {
    name: 'key-of-two-accounts',
    severity: Severity.error,
    sentence: 'A key belongs to one client account.',
    findViolations: ({ accounts }) => {
      const holders = new Map<string, string>()
      return (accounts ?? []).flatMap((account, index) => account.keys.flatMap((key, position) => {
        const holder = holders.get(key)
        if (holder === undefined) holders.set(key, account.name)
        return holder === undefined ? [] : [{ path: ['accounts', index, 'keys', position], text: `client account ${holder} holds this key of ${account.name} already` }]
      }))
    }
  }
]

/** Rules about parts that refer to each other, or to nothing. */
const referenceRules: Rule[] = [
  {
    name: 'unknown-service',
    severity: Severity.error,
    sentence: 'Each service that a route names is defined.',
    findViolations: ({ routes, services }) => {
      const known = new Set(services.map((service) => service.name))
      return violationsOf('routes', routes, ['shares'], ({ name, shares }) => {
        const unknown = shares.filter((share) => !known.has(share.service)).map((share) => share.service)
        return unknown.length === 0 ? undefined : `route ${name} names ${unknown.join(', ')}, which is not defined`
      })
    }
  },
  {
    name: 'share-without-weight',
    severity: Severity.warning,
    sentence: 'Each service of a split gets requests.',
    findViolations: ({ routes }) => violationsOf('routes', routes, ['shares'], ({ name, shares }) => {
      const idle = shares.filter((share) => share.weight <= 0).map((share) => share.service)
      if (idle.length === 0) return undefined
      return idle.length === shares.length ? `all weights of route ${name} are 0, so that ${shares[0].service} gets all requests` : `${idle.join(', ')} gets no request of route ${name}: its weight is 0`
    })
  },
  {
    name: 'unused-service',
    severity: Severity.warning,
    sentence: 'Each service is named by a route.',
    findViolations: ({ routes, services }) => {
      const used = new Set(routes.flatMap((route) => route.shares.map((share) => share.service)))
      return violationsOf('services', services, ['name'], ({ name }) => used.has(name) ? undefined : `no route names service ${name}`)
    }
  },
  {
    name: 'account-without-keys',
    severity: Severity.warning,
    sentence: 'Each client account has a key.',
    findViolations: ({ accounts }) => violationsOf('accounts', accounts ?? [], ['keys'], ({ name, keys }) => keys.length > 0 ? undefined : `client account ${name} has no key, so that nobody can use it`)
  },
  {
    name: 'route-for-nobody',
    severity: Severity.error,
    sentence: 'A route that asks for a key has an account with one.',
    findViolations: ({ accounts, routes }) => {
      if (accounts === undefined || accounts.some(({ keys }) => keys.length > 0)) return []
      return violationsOf('routes', routes, ['anonymous'], ({ anonymous, name }) => anonymous ? undefined : `route ${name} asks for a key, and no client account has one`)
    }
  }
]

/** Rules about limits that contradict each other. */
const limitRules: Rule[] = [
  {
    name: 'objective-over-timeout',
    severity: Severity.error,
    sentence: 'A route\'s latency objective is shorter than its time limit.',
    findViolations: ({ routes }) => violationsOf('routes', routes, ['timeoutMs'], ({ name, objectiveMs, timeoutMs }) => objectiveMs < timeoutMs ? undefined : `route ${name} ends requests after ${timeoutMs} ms, and its objective is ${objectiveMs} ms`)
  },
  {
    name: 'pause-over-timeout',
    severity: Severity.error,
    sentence: 'The longest pause between two events of a stream is shorter than the route\'s time limit.',
    findViolations: ({ routes }) => violationsOf('routes', routes, ['pauseObjectiveMs'], ({ name, pauseObjectiveMs, timeoutMs }) => (pauseObjectiveMs ?? 0) < timeoutMs ? undefined : `route ${name} allows pauses of ${pauseObjectiveMs} ms, and ends requests after ${timeoutMs} ms`)
  },
  {
    name: 'header-time-over-idle-time',
    severity: Severity.warning,
    sentence: 'The time for a request\'s headers is shorter than the time for which a connection may be idle.',
    findViolations: ({ limits }) => limits.headerTimeoutMs <= limits.idleTimeoutMs ? [] : [{ path: ['limits', 'headerTimeoutMs'], text: `headers may take ${limits.headerTimeoutMs} ms, and an idle connection is closed after ${limits.idleTimeoutMs} ms` }]
  },
  {
    name: 'connections-under-slots',
    severity: Severity.warning,
    sentence: 'A target takes at least as many connections as it has slots.',
    findViolations: ({ services }) => violationsOf('services', services, ['maximumConnections'], ({ engine, maximumConnections, name }) => engine === undefined || maximumConnections >= engine.slots ? undefined : `targets of ${name} have ${engine.slots} slots, and take ${maximumConnections} connections`)
  },
  {
    name: 'total-under-one-request',
    severity: Severity.warning,
    sentence: 'A prepaid total covers the largest request that a target can hold.',
    findViolations: ({ accounts, services }) => {
      const largest = Math.min(...services.flatMap(({ engine }) => engine === undefined ? [] : [engine.cacheTokens]))
      return violationsOf('accounts', accounts ?? [], ['prepaidTokens'], ({ name, prepaidTokens }) => prepaidTokens === undefined || largest === Infinity || prepaidTokens >= largest ? undefined : `client account ${name} has ${prepaidTokens} tokens, and one request may need up to ${largest}`)
    }
  }
]

/** Rules that an agreement may break although it can be put in force. */
export const agreementRules: readonly Rule[] = [...uniquenessRules, ...referenceRules, ...limitRules]

import * as decisions from '@acaciaweir/decisions'
import * as pattern from 'ts-pattern'
import type * as settings from './settings.js'

/** Creates the routing policy that the settings name. `seed` makes the choices of `two-choices` and `prefix-affinity` reproducible. */
export function createPolicy (name: settings.Settings['routingPolicy'], seed: number): decisions.routingPolicy.RoutingPolicy {
  const policies = decisions.routingPolicy
  const twoChoices = (): decisions.routingPolicy.RoutingPolicy => new policies.TwoChoicesPolicy(new decisions.random.SeededRandom(seed))
  return pattern.match(name)
    .returnType<decisions.routingPolicy.RoutingPolicy>()
    .with('round-robin', () => new policies.RoundRobinPolicy())
    .with('least-own-work', () => new policies.LeastOwnWorkPolicy())
    .with('two-choices', twoChoices)
    .with('prefix-affinity', () => new policies.PrefixAffinityPolicy(twoChoices()))
    .exhaustive()
}

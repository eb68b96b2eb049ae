import type * as types from './agreement-types.js'

/** A gateway or router that chooses targets. */
export interface Chooser {
  name: string
  availabilityZone: string
}

/**
 * Returns the targets that this chooser prefers. The targets of a service in an availability zone are dealt out evenly to the choosers there,
 * so that few choosers send prompts to the same target without knowing of each other's. Choosers that know the same members agree without
 * communicating; while their views differ, some targets are preferred twice or not at all, which costs evenness only. Targets in a zone
 * without choosers are preferred by all.
 */
export function preferredTargets (self: Chooser, others: readonly Chooser[], targets: readonly types.TargetEntry[]): Set<string> {
  const neighbours = others.filter(({ name, availabilityZone }) => availabilityZone === self.availabilityZone && name !== self.name)
  const position = neighbours.filter(({ name }) => name < self.name).length
  const choosers = neighbours.length + 1
  const occupiedZones = new Set([self, ...others].map(({ availabilityZone }) => availabilityZone))
  const preferred = new Set<string>()
  const idsByService = new Map<string, string[]>()
  for (const { id, service, availabilityZone, leaving } of targets) {
    if (!occupiedZones.has(availabilityZone)) preferred.add(id)
    if (availabilityZone !== self.availabilityZone || leaving) continue
    const ids = idsByService.get(service) ?? []
    ids.push(id)
    idsByService.set(service, ids)
  }
  for (const ids of idsByService.values()) {
    ids.sort()
    ids.forEach((id, index) => {
      if (index % choosers === position || position % ids.length === index) preferred.add(id)
    })
  }
  return preferred
}

import * as client from './platform-client.js'

/** Decision on an object's current value: write a new value, or keep the current one. */
export type UpdateDecision<Value, Result> =
  | { kind: 'write', value: Value, result: Result }
  | { kind: 'keep', result: Result }

const MAXIMUM_ATTEMPTS = 8

/**
 * Updates an object with optimistic concurrency control: reads it, calls `decide`, and writes the new value if the object
 * has not changed in between. Retries after a conflict or an unknown outcome. `decide` must recognize its own earlier
 * write, because an answer may be lost after a write took effect. Throws PlatformUnavailable if a read fails or all
 * attempts fail.
 */
export async function updateObject<Value, Result> (
  platform: client.PlatformClient,
  key: string,
  decide: (current: Value | undefined) => UpdateDecision<Value, Result>
): Promise<Result> {
  for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt += 1) {
    const stored = await platform.read(key)
    const decision = decide(stored?.value as Value | undefined)
    if (decision.kind === 'keep') return decision.result
    const writeResult = await platform.write(key, decision.value, stored?.version)
    if (writeResult.kind === 'written') return decision.result
  }
  throw new client.PlatformUnavailable('update', `every attempt to write ${key} ended in a conflict or without an answer`)
}

import * as client from './platform-client.js'

/** What to do with the object's present value: write a new one, or leave it. */
export type Change<Value, Result> =
  | { kind: 'write', value: Value, result: Result }
  | { kind: 'keep', result: Result }

/** Most tries of one conditional update before it counts as failed. */
const UPDATE_TRIES = 8

/**
 * Reads an object, decides on a change and writes it on the condition that nothing came in between.
 * `decide` must recognise its own earlier write, because an answer may be lost after a write took effect.
 * Throws PlatformUnavailable.
 */
export async function updateObject<Value, Result> (
  platform: client.PlatformClient,
  key: string,
  decide: (present: Value | undefined) => Change<Value, Result>
): Promise<Result> {
  for (let attempt = 0; attempt < UPDATE_TRIES; attempt += 1) {
    const stored = await platform.read(key)
    const change = decide(stored?.value as Value | undefined)
    if (change.kind === 'keep') return change.result
    const written = await platform.write(key, change.value, stored?.version)
    if (written.kind === 'written') return change.result
  }
  throw new client.PlatformUnavailable('update', `${key} kept changing or not answering`)
}

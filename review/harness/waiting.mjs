const POLL_MS = 20
const PATIENCE_MS = 20_000

export async function sleep (milliseconds) {
  await new Promise((resolve) => { setTimeout(resolve, milliseconds) })
}

/** Polls a condition until it holds. Rejects after twenty seconds. */
export async function until (holds, description) {
  const end = performance.now() + PATIENCE_MS
  while (!await holds()) {
    if (performance.now() > end) throw new Error(`waited in vain: ${description}`)
    await sleep(POLL_MS)
  }
}

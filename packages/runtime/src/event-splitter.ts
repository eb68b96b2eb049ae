/** One server-sent event as its bytes came, with its blank line. */
export interface RawEvent {
  bytes: Buffer
  id?: string
}

const LINE_FEED = 10
const CARRIAGE_RETURN = 13

/** Cuts a byte stream into whole server-sent events, and keeps the rest until more bytes come. */
export class EventSplitter {
  #rest: Buffer = Buffer.alloc(0)

  /** Bytes of an event whose end has not come. */
  get restBytes (): number {
    return this.#rest.length
  }

  /** Takes bytes and returns the events that they complete. */
  push (chunk: Buffer): RawEvent[] {
    const bytes = this.#rest.length === 0 ? chunk : Buffer.concat([this.#rest, chunk])
    const events: RawEvent[] = []
    let start = 0
    for (let end = endOfEvent(bytes, start); end > 0; end = endOfEvent(bytes, start)) {
      const raw = bytes.subarray(start, end)
      events.push({ bytes: raw, id: idOf(raw) })
      start = end
    }
    this.#rest = bytes.subarray(start)
    return events
  }
}

/** Position after the blank line that ends the event, or 0 where it has not come. */
function endOfEvent (bytes: Buffer, start: number): number {
  for (let at = bytes.indexOf(LINE_FEED, start); at >= 0; at = bytes.indexOf(LINE_FEED, at + 1)) {
    const next = bytes[at + 1] === CARRIAGE_RETURN ? at + 2 : at + 1
    if (bytes[next] === LINE_FEED) return next + 1
  }
  return 0
}

function idOf (raw: Buffer): string | undefined {
  return /^id: ?([^\r\n]*)/m.exec(raw.toString('latin1'))?.[1]
}

/** One server-sent event as unparsed bytes, including the blank line that ends it. */
export interface RawEvent {
  bytes: Buffer
  id?: string
}

const LINE_FEED = 10
const CARRIAGE_RETURN = 13

/** Splits a byte stream into complete server-sent events and buffers an incomplete one until more bytes arrive. */
export class EventSplitter {
  readonly #maximumEventBytes: number
  #incomplete: Buffer = Buffer.alloc(0)

  constructor (maximumEventBytes: number) {
    this.#maximumEventBytes = maximumEventBytes
  }

  /** Number of buffered bytes of an event whose end has not arrived. */
  get bufferedBytes (): number {
    return this.#incomplete.length
  }

  /** Appends bytes and returns the events that they complete. Throws if an incomplete event is larger than the maximum. */
  push (chunk: Buffer): RawEvent[] {
    const bytes = this.#incomplete.length === 0 ? chunk : Buffer.concat([this.#incomplete, chunk])
    const events: RawEvent[] = []
    let start = 0
    for (let end = findEventEnd(bytes, start); end > 0; end = findEventEnd(bytes, start)) {
      const raw = bytes.subarray(start, end)
      events.push({ bytes: raw, id: parseEventId(raw) })
      start = end
    }
    this.#incomplete = bytes.subarray(start)
    if (this.#incomplete.length > this.#maximumEventBytes) throw new Error(`event is larger than ${this.#maximumEventBytes} bytes`)
    return events
  }
}

/** Returns the position after the blank line that ends the event, or 0 if it has not arrived. */
function findEventEnd (bytes: Buffer, start: number): number {
  for (let lineEnd = bytes.indexOf(LINE_FEED, start); lineEnd >= 0; lineEnd = bytes.indexOf(LINE_FEED, lineEnd + 1)) {
    const nextFeed = bytes[lineEnd + 1] === CARRIAGE_RETURN ? lineEnd + 2 : lineEnd + 1
    if (bytes[nextFeed] === LINE_FEED) return nextFeed + 1
  }
  return 0
}

function parseEventId (raw: Buffer): string | undefined {
  return /^id: ?([^\r\n]*)/m.exec(raw.toString('latin1'))?.[1]
}

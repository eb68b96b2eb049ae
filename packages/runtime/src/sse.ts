import type * as http from 'node:http'

/** One server-sent event. */
export interface ServerSentEvent {
  id?: string
  data: string
}

/** Formats an event for the wire. `data` must be a single line. */
export function formatEvent (event: ServerSentEvent): string {
  const id = event.id === undefined ? '' : `id: ${event.id}\n`
  return `${id}data: ${event.data}\n\n`
}

/** Largest event that is buffered until its end arrives, in characters. */
const MAXIMUM_EVENT_LENGTH = 1024 * 1024

/**
 * Yields events as they arrive, until the stream ends. Throws if the stream is cut off or an event is larger than 1 MiB.
 * A consumer that stops early must drain or destroy the stream itself.
 */
export async function * readEvents (stream: http.IncomingMessage): AsyncGenerator<ServerSentEvent> {
  stream.setEncoding('utf8')
  let buffered = ''
  for await (const chunk of stream.iterator({ destroyOnReturn: false })) {
    buffered += chunk as string
    let eventEnd = buffered.indexOf('\n\n')
    while (eventEnd >= 0) {
      yield parseEvent(buffered.slice(0, eventEnd))
      buffered = buffered.slice(eventEnd + 2)
      eventEnd = buffered.indexOf('\n\n')
    }
    if (buffered.length > MAXIMUM_EVENT_LENGTH) throw new Error(`event is larger than ${MAXIMUM_EVENT_LENGTH} characters`)
  }
}

function parseEvent (text: string): ServerSentEvent {
  const event: ServerSentEvent = { data: '' }
  for (const line of text.split('\n')) {
    if (line.startsWith('id: ')) event.id = line.slice(4)
    if (line.startsWith('data: ')) event.data += line.slice(6)
  }
  return event
}

import type * as http from 'node:http'

/** One server-sent event. */
export interface ServerSentEvent {
  id?: string
  data: string
}

/** Writes an event in its wire form. */
export function formatEvent (event: ServerSentEvent): string {
  const id = event.id === undefined ? '' : `id: ${event.id}\n`
  return `${id}data: ${event.data}\n\n`
}

/**
 * Reads events as they come. Ends with the stream; throws where the stream is cut.
 * A reader that stops early has to drain or destroy the stream itself.
 */
export async function * readEvents (stream: http.IncomingMessage): AsyncGenerator<ServerSentEvent> {
  stream.setEncoding('utf8')
  let rest = ''
  for await (const chunk of stream.iterator({ destroyOnReturn: false })) {
    rest += chunk as string
    let end = rest.indexOf('\n\n')
    while (end >= 0) {
      yield parseEvent(rest.slice(0, end))
      rest = rest.slice(end + 2)
      end = rest.indexOf('\n\n')
    }
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

import * as http from 'node:http'
import * as net from 'node:net'

/** Pause before another attempt to listen, in milliseconds. */
const LISTEN_RETRY_MS = 50

/**
 * Resets the connections that wait to be accepted by a server and makes it listen again at the same address. Accepted connections stay
 * open. The system closes the waiting ones with the socket, which takes no time from an overloaded process, unlike accepting them.
 */
export function reopenListener (server: http.Server, backlog: number): void {
  const address = server.address() as net.AddressInfo | null
  if (address === null) return
  // The close method of http.Server would close idle connections, too.
  net.Server.prototype.close.call(server)
  listenAgain(server, address, backlog)
}

function listenAgain (server: http.Server, address: net.AddressInfo, backlog: number): void {
  const onError = (): void => { setTimeout(() => { listenAgain(server, address, backlog) }, LISTEN_RETRY_MS) }
  server.once('error', onError)
  server.listen(address.port, address.address, backlog, () => { server.off('error', onError) })
}

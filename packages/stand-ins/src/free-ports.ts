import * as net from 'node:net'

/** Ports below the range from which systems usually take those of outgoing connections. */
const FIRST_PORT = 12_000
const PORT_COUNT = 18_000

/** Steps between the ports at which two processes begin to look, so that they seldom meet. */
const PROCESS_STEP = 131

let next = (process.pid * PROCESS_STEP) % PORT_COUNT

/** Finds a port on loopback that nobody listens at, and that no outgoing connection will take. */
export async function freePort (): Promise<number> {
  for (;;) {
    const port = FIRST_PORT + next
    next = (next + 1) % PORT_COUNT
    if (await isFree(port)) return port
  }
}

function isFree (port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = net.createServer()
    server.once('error', () => { resolve(false) })
    server.listen(port, '127.0.0.1', () => { server.close(() => { resolve(true) }) })
  })
}

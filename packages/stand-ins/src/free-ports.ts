import * as net from 'node:net'

/** The ports lie below the usual ephemeral port range, from which the system assigns those of outgoing connections. */
const FIRST_PORT = 12_000
const PORT_COUNT = 18_000

/** Distance between the first ports that processes with successive ids try, so that concurrent processes seldom collide. */
const PORT_STEP_PER_PROCESS = 131

let nextOffset = (process.pid * PORT_STEP_PER_PROCESS) % PORT_COUNT

/** Returns a loopback port on which no process listens, and which the system does not assign to outgoing connections. */
export async function freePort (): Promise<number> {
  for (;;) {
    const port = FIRST_PORT + nextOffset
    nextOffset = (nextOffset + 1) % PORT_COUNT
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

// Guards against a read delay that is reported as zero while handlers keep the event loop busy, or that counts idle time.
import * as chai from 'chai'
import * as net from 'node:net'
import * as readDelays from '../src/read-delay.js'

const { expect } = chai

const cases: Array<{ name: string, busyMs: number, idleMs: number, leastMs: number, mostMs: number }> = [
  { name: 'measures the time for which a handler kept the event loop busy', busyMs: 200, idleMs: 0, leastMs: 190, mostMs: 600 },
  { name: 'does not count the time for which the event loop was idle', busyMs: 0, idleMs: 300, leastMs: 0, mostMs: 100 }
]

describe('a read delay meter', () => {
  for (const { name, busyMs, idleMs, leastMs, mostMs } of cases) {
    it(name, async () => {
      const meter = new readDelays.ReadDelayMeter()
      const delays: number[] = []
      const server = net.createServer((socket) => {
        socket.on('data', () => {
          delays.push(meter.measure())
          block(delays.length === 1 ? busyMs : 0)
        })
      })
      await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
      const { port } = server.address() as net.AddressInfo
      const sockets = await Promise.all([connect(port), connect(port)])
      for (const socket of sockets) {
        socket.write('x')
        await new Promise<void>((resolve) => { setTimeout(resolve, idleMs) })
      }
      while (delays.length < 2) await new Promise<void>((resolve) => { setTimeout(resolve, 5) })
      expect(delays[1]).to.be.within(leastMs, mostMs)
      for (const socket of sockets) socket.destroy()
      server.close()
    })
  }
})

function connect (port: number): Promise<net.Socket> {
  return new Promise((resolve) => {
    const socket = net.connect(port, '127.0.0.1', () => { resolve(socket) })
  })
}

function block (milliseconds: number): void {
  const end = performance.now() + milliseconds
  while (performance.now() < end);
}

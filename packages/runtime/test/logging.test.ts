// Guards against a logger that blocks the process while nobody reads its standard output. The pipe fills up, and a
// synchronous write would then wait for a reader.
import * as chai from 'chai'
import * as childProcess from 'node:child_process'
import * as url from 'node:url'

const FLOOD_PROGRAM = url.fileURLToPath(new URL('./flood.js', import.meta.url))

interface FloodReport {
  elapsedMs: number
  dropped: number
}

describe('bounded logger', () => {
  it('drops and counts lines without blocking while nobody reads standard output', async () => {
    const child = childProcess.spawn(process.execPath, [FLOOD_PROGRAM], { stdio: ['ignore', 'pipe', 'inherit', 'ipc'] })
    const report = await new Promise<FloodReport>((resolve) => { child.once('message', (message) => { resolve(message as FloodReport) }) })
    child.kill('SIGKILL')
    chai.expect(report.dropped).to.be.greaterThan(1000)
    chai.expect(report.elapsedMs).to.be.below(10_000)
  })
})

import * as chai from 'chai'
import * as childProcess from 'node:child_process'
import * as url from 'node:url'

const FLOOD = url.fileURLToPath(new URL('./flood.js', import.meta.url))

interface FloodReport {
  elapsedMs: number
  dropped: number
}

describe('the log of a process', () => {
  it('drops lines and counts them, and blocks nothing, while nobody reads standard output', async () => {
    const child = childProcess.spawn(process.execPath, [FLOOD], { stdio: ['ignore', 'pipe', 'inherit', 'ipc'] })
    const report = await new Promise<FloodReport>((resolve) => { child.once('message', (message) => { resolve(message as FloodReport) }) })
    child.kill('SIGKILL')
    chai.expect(report.dropped).to.be.greaterThan(1000)
    chai.expect(report.elapsedMs).to.be.below(10_000)
  })
})

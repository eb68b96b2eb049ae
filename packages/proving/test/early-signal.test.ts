// A host that reloads its settings just after a restart sends a SIGHUP to a gateway that is still loading. Guards against a process that
// this signal ends, as one without a handler does. The settings file is a pipe, so that the gateway waits while it starts.
import * as standIns from '@acaciaweir/stand-ins'
import * as chai from 'chai'
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import * as url from 'node:url'
import * as processes from '../src/managed-process.js'
import * as gatewayFleets from '../src/soak-fleet.js'

const { expect } = chai

const GATEWAY_MAIN = url.fileURLToPath(import.meta.resolve('@acaciaweir/gateway/main'))

/** Time after the signal by which a process without a handler has ended, in milliseconds. */
const SIGNAL_EFFECT_MS = 300

describe('a gateway that gets a SIGHUP while it starts', () => {
  it('goes on to start, with the settings as they are then', async () => {
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'acaciaweir-'))
    const settingsPath = path.join(folder, 'node.toml')
    childProcess.execFileSync('mkfifo', [settingsPath])
    const ports = await Promise.all(Array.from({ length: 5 }, async () => await standIns.freePorts.freePort()))
    const settings = standIns.gatewaySettings.renderSettings({ name: 'host-0', callerPort: ports[0], readyPort: ports[1], peerPort: ports[2], directoryPort: ports[3], storeAddress: `127.0.0.1:${ports[4]}`, seedPeers: [] })
    const gateway = new processes.ManagedProcess(GATEWAY_MAIN, ['--settings-file', settingsPath, '--metrics-port', '0'])
    const pipe = await openOnceRead(settingsPath)
    gateway.signal('SIGHUP')
    const isRunning = await Promise.race([gateway.waitForExit().then(() => false), gatewayFleets.sleep(SIGNAL_EFFECT_MS).then(() => true)])
    expect(isRunning).to.equal(true)
    fs.writeFileSync(`${settingsPath}.new`, settings)
    fs.renameSync(`${settingsPath}.new`, settingsPath)
    fs.writeSync(pipe, settings)
    fs.closeSync(pipe)
    const outcome = await Promise.race([gateway.waitForEvent((line) => line.event === 'started').then(() => 'started'), gateway.waitForExit().then(() => 'ended')])
    gateway.signal('SIGKILL')
    fs.rmSync(folder, { recursive: true })
    expect(outcome).to.equal('started')
  })
})

/** Opens a named pipe for writing as soon as another process waits to read it. */
async function openOnceRead (pipePath: string): Promise<number> {
  for (;;) {
    try {
      return fs.openSync(pipePath, fs.constants.O_WRONLY | fs.constants.O_NONBLOCK)
    } catch {
      // Nobody reads yet.
      await gatewayFleets.sleep(10)
    }
  }
}

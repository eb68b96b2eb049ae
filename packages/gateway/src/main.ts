import * as adapter from '@acaciaweir/platform-adapter'
import * as runtime from '@acaciaweir/runtime'
import * as commander from 'commander'
import * as fs from 'node:fs'
import * as gateways from './gateway.js'
import * as settings from './settings.js'

/** Exit code of a bad setting. */
const BAD_SETTING_EXIT_CODE = 2

/** Exit code of a second signal, which stops at once. */
const STOPPED_AT_ONCE_EXIT_CODE = 130

/** Interval at which a change of the settings file without a signal is noticed, in milliseconds. */
const SETTINGS_CHECK_MS = 2000

const own = readOrExit(() => settings.readSettings(process.argv.slice(2)))
await run(own, readOrExit(() => adapter.settingsFile.readSettingsFile(own.settingsFile)))

function readOrExit<Value> (read: () => Value): Value {
  try {
    return read()
  } catch (error) {
    if (error instanceof commander.CommanderError && error.exitCode === 0) process.exit(0)
    process.stderr.write(`acaciaweir-gateway: ${(error as Error).message}\n`)
    process.exit(BAD_SETTING_EXIT_CODE)
  }
}

async function run (checked: settings.GatewaySettings, fleet: adapter.settingsFile.FleetSettings): Promise<void> {
  const log = runtime.logging.createBoundedLog(checked.logLevel, { host: fleet.host, availabilityZone: fleet.availabilityZone })
  const stopTelemetry = await runtime.telemetry.startTelemetry({
    service: 'acaciaweir-gateway',
    instance: fleet.host,
    otlpEndpoint: checked.otlpEndpoint,
    traceFile: checked.traceFile,
    sampledShare: checked.traceSampledShare
  })
  const gateway = new gateways.Gateway({ fleet, metricsPort: checked.metricsPort, seed: checked.seed, log })
  let signalled = false
  const onEnd = (): void => {
    if (signalled) process.exit(STOPPED_AT_ONCE_EXIT_CODE)
    signalled = true
    void gateway.shutDown().then(stopTelemetry).then(() => {
      log.flush()
      process.exit(0)
    })
  }
  process.on('SIGTERM', onEnd)
  process.on('SIGINT', onEnd)
  const onChange = (): void => { reload(gateway, log.logger, checked.settingsFile) }
  process.on('SIGHUP', onChange)
  fs.watchFile(checked.settingsFile, { interval: SETTINGS_CHECK_MS }, onChange)
  await gateway.start()
}

/** Takes a changed settings file; a bad one changes nothing. */
function reload (gateway: gateways.Gateway, logger: runtime.logging.Logger, path: string): void {
  try {
    gateway.useSettings(adapter.settingsFile.readSettingsFile(path))
  } catch (error) {
    logger.error({ event: 'reload-refused', path, reason: (error as Error).message })
  }
}

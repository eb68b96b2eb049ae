import * as adapter from '@acaciaweir/platform-adapter'
import * as runtime from '@acaciaweir/runtime'
import * as commander from 'commander'
import * as fs from 'node:fs'
import * as gateways from './gateway.js'
import * as settings from './settings.js'

const INVALID_SETTINGS_EXIT_CODE = 2

/** Interval at which a settings file that changed without a SIGHUP is detected, in milliseconds. */
const SETTINGS_FILE_CHECK_INTERVAL_MS = 2000

/** Runs a gateway with the settings of the command line, the environment and the settings file. Exits if these are invalid. */
export async function start (): Promise<void> {
  const ownSettings = readOrExit(() => settings.readSettings(process.argv.slice(2)))
  await run(ownSettings, readOrExit(() => adapter.settingsFile.readSettingsFile(ownSettings.settingsFile)))
}

function readOrExit<Value> (read: () => Value): Value {
  try {
    return read()
  } catch (error) {
    if (error instanceof commander.CommanderError && error.exitCode === 0) process.exit(0)
    process.stderr.write(`acaciaweir-gateway: ${(error as Error).message}\n`)
    process.exit(INVALID_SETTINGS_EXIT_CODE)
  }
}

async function run (gatewaySettings: settings.GatewaySettings, fleetSettings: adapter.settingsFile.FleetSettings): Promise<void> {
  const log = runtime.logging.createBoundedLog(gatewaySettings.logLevel, { host: fleetSettings.host, availabilityZone: fleetSettings.availabilityZone })
  const stopTelemetry = await runtime.telemetry.startTelemetry({
    service: 'acaciaweir-gateway',
    instance: fleetSettings.host,
    otlpEndpoint: gatewaySettings.otlpEndpoint,
    traceFile: gatewaySettings.traceFile,
    sampledShare: gatewaySettings.traceSampledShare
  })
  const gateway = new gateways.Gateway({ settings: fleetSettings, metricsPort: gatewaySettings.metricsPort, seed: gatewaySettings.seed, log })
  runtime.terminationSignals.shutDownOnSignal(log.logger, async () => {
    await gateway.shutDown()
    await stopTelemetry()
    log.flush()
    process.exit(0)
  })
  const onSettingsChange = (): void => { reload(gateway, log.logger, gatewaySettings.settingsFile) }
  process.on('SIGHUP', onSettingsChange)
  fs.watchFile(gatewaySettings.settingsFile, { interval: SETTINGS_FILE_CHECK_INTERVAL_MS }, onSettingsChange)
  await gateway.start()
}

/** Applies a changed settings file. An invalid file is logged, and the settings in force stay. */
function reload (gateway: gateways.Gateway, logger: runtime.logging.Logger, path: string): void {
  try {
    gateway.applySettings(adapter.settingsFile.readSettingsFile(path))
  } catch (error) {
    logger.error({ event: 'reload-refused', path, reason: (error as Error).message })
  }
}

import * as runtime from '@acaciaweir/runtime'
import * as commander from 'commander'
import * as router from './router.js'
import * as settings from './settings.js'

const INVALID_SETTINGS_EXIT_CODE = 2

await run(readSettingsOrExit())

function readSettingsOrExit (): settings.Settings {
  try {
    return settings.readSettings(process.argv.slice(2), process.env)
  } catch (error) {
    if (error instanceof commander.CommanderError && error.exitCode === 0) process.exit(0)
    process.stderr.write(`acaciaweir-router: ${(error as Error).message}\n`)
    process.exit(INVALID_SETTINGS_EXIT_CODE)
  }
}

async function run (validSettings: settings.Settings): Promise<void> {
  const logger = runtime.logging.createLogger(validSettings.logLevel, { host: validSettings.host, availabilityZone: validSettings.availabilityZone })
  const stopTelemetry = await runtime.telemetry.startTelemetry({
    service: 'acaciaweir-router',
    instance: validSettings.host,
    otlpEndpoint: validSettings.otlpEndpoint,
    traceFile: validSettings.traceFile,
    sampledShare: validSettings.traceSampledShare
  })
  const daemon = new router.Router(validSettings, logger)
  runtime.terminationSignals.shutDownOnSignal(logger, async () => {
    await daemon.shutDown()
    await stopTelemetry()
    process.exit(0)
  })
  // A terminal that closes sends it. There is nothing to reload, and without a handler it would end the process.
  process.on('SIGHUP', () => { logger.info({ event: 'signal-ignored', signal: 'SIGHUP' }) })
  await daemon.start()
}

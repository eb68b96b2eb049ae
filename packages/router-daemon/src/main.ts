import * as runtime from '@acaciaweir/runtime'
import * as commander from 'commander'
import * as router from './router.js'
import * as settings from './settings.js'

/** Exit code of a bad setting. */
const BAD_SETTING_EXIT_CODE = 2

/** Exit code of a second signal, which stops at once. */
const STOPPED_AT_ONCE_EXIT_CODE = 130

await run(readSettingsOrExit())

function readSettingsOrExit (): settings.Settings {
  try {
    return settings.readSettings(process.argv.slice(2), process.env)
  } catch (error) {
    if (error instanceof commander.CommanderError && error.exitCode === 0) process.exit(0)
    process.stderr.write(`acaciaweir-router: ${(error as Error).message}\n`)
    process.exit(BAD_SETTING_EXIT_CODE)
  }
}

async function run (checked: settings.Settings): Promise<void> {
  const logger = runtime.logging.createLogger(checked.logLevel, { host: checked.host, availabilityZone: checked.availabilityZone })
  const stopTelemetry = await runtime.telemetry.startTelemetry({
    service: 'acaciaweir-router',
    instance: checked.host,
    otlpEndpoint: checked.otlpEndpoint,
    traceFile: checked.traceFile,
    sampledShare: checked.traceSampledShare
  })
  const daemon = new router.Router(checked, logger)
  listenForSignals(async () => {
    await daemon.shutDown()
    await stopTelemetry()
    process.exit(0)
  })
  await daemon.start()
}

function listenForSignals (shutDown: () => Promise<void>): void {
  let signalled = false
  const onSignal = (): void => {
    if (signalled) process.exit(STOPPED_AT_ONCE_EXIT_CODE)
    signalled = true
    void shutDown()
  }
  process.on('SIGTERM', onSignal)
  process.on('SIGINT', onSignal)
}

import * as commander from 'commander'
import * as engine from './engine-server.js'
import * as stores from './published-store.js'
import * as service from './service-server.js'

interface Listener {
  listen: (port: number, address: string) => Promise<number>
}

interface SharedOptions {
  port: number
  address: string
}

const program = new commander.Command('acaciaweir-stand-in')
  .description('Small stand-ins for the systems around the routers; for tests and experiments only')

addCommand('platform', () => {
  const store = new stores.PublishedStore()
  return { listen: async (port, address) => await store.listenAt(port, address) }
})
addCommand('service', () => new service.ServiceServer())
addCommand('engine', (options) => new engine.EngineServer(options))
  .option('--slots <count>', 'requests served at once', Number, engine.defaultEngineOptions.slots)
  .option('--first-token-ms <milliseconds>', 'time to the first token', Number, engine.defaultEngineOptions.firstTokenMs)
  .option('--token-interval-ms <milliseconds>', 'time between tokens', Number, engine.defaultEngineOptions.tokenIntervalMs)

await program.parseAsync()

function addCommand (name: string, create: (options: Partial<engine.EngineOptions>) => Listener): commander.Command {
  return program.command(name)
    .option('--port <port>', 'port to listen on; 0 takes a free one', Number, 0)
    .option('--address <address>', 'address to listen on', '127.0.0.1')
    .action(async (options: SharedOptions & Partial<engine.EngineOptions>) => {
      const port = await create(options).listen(options.port, options.address)
      process.stdout.write(JSON.stringify({ listening: port }) + '\n')
    })
}

import * as commander from 'commander'
import * as engine from './engine-server.js'
import * as stores from './store-server.js'
import * as service from './service-server.js'

interface StandInServer {
  listen: (port: number, address: string) => Promise<number>
}

interface ListenOptions {
  port: number
  address: string
}

const program = new commander.Command('acaciaweir-stand-in')
  .description('Stand-ins for the platform, a plain service and a model engine; for tests and experiments only')

addCommand('platform', () => {
  const store = new stores.StoreServer()
  return { listen: async (port, address) => await store.listenOn(port, address) }
})
addCommand('service', () => new service.ServiceServer())
addCommand('engine', (options) => {
  const server = new engine.EngineServer(options)
  server.onCrash = () => { process.stdout.write(JSON.stringify({ crashed: server.served }) + '\n', () => { process.exit(1) }) }
  return server
})
  .option('--slots <count>', 'requests served concurrently', Number, engine.defaultEngineOptions.slots)
  .option('--first-token-ms <milliseconds>', 'time to the first token', Number, engine.defaultEngineOptions.firstTokenMs)
  .option('--token-interval-ms <milliseconds>', 'time between tokens', Number, engine.defaultEngineOptions.tokenIntervalMs)

await program.parseAsync()

function addCommand (name: string, create: (options: Partial<engine.EngineOptions>) => StandInServer): commander.Command {
  return program.command(name)
    .option('--port <port>', 'port to listen on; 0 selects a free port', Number, 0)
    .option('--address <address>', 'address to listen on', '127.0.0.1')
    .action(async (options: ListenOptions & Partial<engine.EngineOptions>) => {
      const port = await create(options).listen(options.port, options.address)
      process.stdout.write(JSON.stringify({ listening: port }) + '\n')
    })
}

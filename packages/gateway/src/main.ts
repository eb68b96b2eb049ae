// Loading the program takes a while on a slow host. Without a handler, a SIGHUP that arrives meanwhile would end the process; the settings
// are read after it, so nothing is missed.
process.on('SIGHUP', () => {})
const { start } = await import('./program.js')
await start()

import * as programs from './program.js'

process.exitCode = await programs.runProgram(process.argv.slice(2))

// Generates src/peers-descriptor.ts from peers.proto. Run `npm run generate` after changing peers.proto.
import protobuf from 'protobufjs/index.js'
import fs from 'node:fs'

const folder = new URL('.', import.meta.url)
const root = protobuf.parse(fs.readFileSync(new URL('peers.proto', folder), 'utf8'), { keepCase: true }).root
const json = JSON.stringify(root.toJSON()).replaceAll('\\', '\\\\').replaceAll("'", "\\'")
const text = `/** Generated from peers.proto by \`npm run generate\`. Do not edit. */\nexport const peersDescriptor: string = '${json}'\n`
fs.writeFileSync(new URL('src/peers-descriptor.ts', folder), text)

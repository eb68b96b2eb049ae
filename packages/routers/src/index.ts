export * as peerMessages from './peer-messages.js'
export * as peerHandler from './peer-handler.js'
export * as peerServer from './peer-server.js'
export * as peerClient from './peer-client.js'

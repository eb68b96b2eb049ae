import * as grpc from '@grpc/grpc-js'
import * as loader from '@grpc/proto-loader'
import * as url from 'node:url'
import type * as messages from './peer-messages.js'

const DEFINITION_PATH = url.fileURLToPath(new URL('../../peers.proto', import.meta.url))

const definition = loader.loadSync(DEFINITION_PATH, { keepCase: true, longs: Number, defaults: true, arrays: true })
const loaded = grpc.loadPackageDefinition(definition) as unknown as LoadedDefinition

interface LoadedDefinition {
  acaciaweir: { peers: { Peers: grpc.ServiceClientConstructor } }
}

/** The service of all calls between routers. */
export const peersService = loaded.acaciaweir.peers.Peers.service

/** Path of a call on the wire. */
export function callDefinition (name: messages.PeerCallName): grpc.MethodDefinition<object, object> {
  return peersService[name] as grpc.MethodDefinition<object, object>
}

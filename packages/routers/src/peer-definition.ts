import * as grpc from '@grpc/grpc-js'
import * as loader from '@grpc/proto-loader'
import type * as messages from './gateway-messages.js'
import * as descriptor from './peers-descriptor.js'

const definition = loader.fromJSON(JSON.parse(descriptor.peersDescriptor), { keepCase: true, longs: Number, defaults: true, arrays: true, objects: true })
const loaded = grpc.loadPackageDefinition(definition) as unknown as LoadedDefinition

interface LoadedDefinition {
  acaciaweir: { peers: { Peers: grpc.ServiceClientConstructor, Gateways: grpc.ServiceClientConstructor } }
}

/** Requests and replies of the calls of a service, by name. */
export type CallTable<Calls> = { [Name in keyof Calls]: { request: object, reply: object } }

/** The service of all calls between routers. */
export const peersService = loaded.acaciaweir.peers.Peers.service

/** The service of all calls between gateways. */
export const gatewaysService = loaded.acaciaweir.peers.Gateways.service

/** Codec of the heartbeats of gateways. */
export const heartbeatCodec = definition['acaciaweir.peers.GatewayHeartbeat'] as loader.MessageTypeDefinition<messages.GatewayHeartbeat, messages.GatewayHeartbeat>

/** Path and codecs of a call. */
export function callDefinition (service: grpc.ServiceDefinition, name: string): grpc.MethodDefinition<object, object> {
  return service[name] as grpc.MethodDefinition<object, object>
}

import * as grpc from '@grpc/grpc-js'
import * as loader from '@grpc/proto-loader'
import type * as messages from './gateway-messages.js'
import * as descriptor from './peers-descriptor.js'

const packageDefinition = loader.fromJSON(JSON.parse(descriptor.peersDescriptor), { keepCase: true, longs: Number, defaults: true, arrays: true, objects: true })
const packageObject = grpc.loadPackageDefinition(packageDefinition) as unknown as PeerPackages

interface PeerPackages {
  acaciaweir: { peers: { Peers: grpc.ServiceClientConstructor, Gateways: grpc.ServiceClientConstructor } }
}

/** Request and reply types of the RPCs of a service, by name. */
export type CallTable<Calls> = { [Name in keyof Calls]: { request: object, reply: object } }

/** gRPC service definition of the RPCs between routers. */
export const peersService = packageObject.acaciaweir.peers.Peers.service

/** gRPC service definition of the RPCs between gateways. */
export const gatewaysService = packageObject.acaciaweir.peers.Gateways.service

/** Protobuf codec for heartbeats between gateways. */
export const heartbeatCodec = packageDefinition['acaciaweir.peers.GatewayHeartbeat'] as loader.MessageTypeDefinition<messages.GatewayHeartbeat, messages.GatewayHeartbeat>

/** Returns the path and codecs of an RPC. */
export function callDefinition (service: grpc.ServiceDefinition, name: string): grpc.MethodDefinition<object, object> {
  return service[name] as grpc.MethodDefinition<object, object>
}

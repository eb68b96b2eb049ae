/** Host, ports and store of a gateway under test. */
export interface HostSettings {
  name: string
  callerPort: number
  readyPort: number
  peerPort: number
  directoryPort: number
  storeAddress: string
  seedPeers: string[]
  /** Memory of the host, in megabytes, and the descriptors that a process may open; by default those of a small host. */
  memoryMb?: number
  maximumDescriptors?: number
}

/** Returns the platform's settings file, in TOML, for a host on loopback. */
export function renderSettings (host: HostSettings): string {
  const address = (port: number): string => `"127.0.0.1:${port}"`
  return [
    `NodeName = "${host.name}"`,
    'Ip = "127.0.0.1"',
    'Zone = "zone-a"',
    'Region = "region"',
    `SeedNodes = [${host.seedPeers.map((peer) => `"${peer}"`).join(', ')}]`,
    '[Zones]',
    'zone-a = "region"',
    '[ListenAddrs]',
    `Front = ${address(host.callerPort)}`,
    `Ready = ${address(host.readyPort)}`,
    `Control = ${address(host.peerPort)}`,
    `Directory = ${address(host.directoryPort)}`,
    '[Limits]',
    'CpuShare = 1.0',
    `MemoryMb = ${host.memoryMb ?? 350}`,
    `MaxFds = ${host.maximumDescriptors ?? 4100}`,
    '[Bounds]',
    'GraceS = 8',
    'RetryBudgetRatio = 0.2',
    'RetrySlack = 56',
    'BudgetWindowS = 10',
    '[Platform]',
    `Address = "${host.storeAddress}"`,
    ''
  ].join('\n')
}

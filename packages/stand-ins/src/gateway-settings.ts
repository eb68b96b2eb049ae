/** Host, ports and store of a gateway under test. */
export interface HostSettings {
  name: string
  callerPort: number
  readyPort: number
  peerPort: number
  directoryPort: number
  storeAddress: string
  seedPeers: string[]
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
    'MemoryMb = 350',
    'MaxFds = 4100',
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

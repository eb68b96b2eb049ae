import * as fs from 'node:fs'

/** Unit in which the kernel reports processor time (`USER_HZ`). */
const TICKS_PER_SECOND = 100

const BYTES_PER_MEGABYTE = 1024 * 1024

/** Unit in which the kernel reports resident memory. */
const BYTES_PER_PAGE = 4096

/** Resource usage of a process since its start. */
export interface ProcessUsage {
  /** User and system time. */
  processorSeconds: number
  /** Resident memory now. */
  residentMegabytes: number
}

/** Reads the usage of a running process from `/proc`. Throws if the process does not exist. */
export function readUsage (pid: number): ProcessUsage {
  const fields = fs.readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1].split(' ')
  const ticks = Number(fields[11]) + Number(fields[12])
  const pages = Number(fs.readFileSync(`/proc/${pid}/statm`, 'utf8').split(' ')[1])
  return { processorSeconds: ticks / TICKS_PER_SECOND, residentMegabytes: pages * BYTES_PER_PAGE / BYTES_PER_MEGABYTE }
}

/** Returns the number of descriptors that a running process has open. Throws if the process does not exist. */
export function openDescriptors (pid: number): number {
  return fs.readdirSync(`/proc/${pid}/fd`).length
}

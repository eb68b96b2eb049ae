import * as fs from 'node:fs'

/** Clock ticks in a second, as the kernel reports processor time. */
const TICKS_PER_SECOND = 100

/** Bytes in a megabyte. */
const MEGABYTE = 1024 * 1024

/** Bytes of a memory page. */
const PAGE_BYTES = 4096

/** What a process has used so far. */
export interface ProcessUsage {
  processorSeconds: number
  residentMegabytes: number
}

/** Reads the usage of a running process from the kernel. */
export function readUsage (pid: number): ProcessUsage {
  const fields = fs.readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1].split(' ')
  const ticks = Number(fields[11]) + Number(fields[12])
  const pages = Number(fs.readFileSync(`/proc/${pid}/statm`, 'utf8').split(' ')[1])
  return { processorSeconds: ticks / TICKS_PER_SECOND, residentMegabytes: pages * PAGE_BYTES / MEGABYTE }
}

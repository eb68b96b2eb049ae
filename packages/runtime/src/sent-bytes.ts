import type * as net from 'node:net'

/** The parts of Node's socket handle that tell how far a write has come. */
interface StreamHandle {
  bytesWritten: number
  writeQueueSize: number
}

/**
 * Returns the bytes of a socket that the system has taken. Node's own count of a write changes only once the whole write is done, which may take
 * a slow reader minutes.
 */
export function sentBytes (socket: net.Socket): number {
  const { _handle: handle } = socket as net.Socket & { _handle?: StreamHandle | null }
  return handle === undefined || handle === null ? socket.bytesWritten : handle.bytesWritten - handle.writeQueueSize
}

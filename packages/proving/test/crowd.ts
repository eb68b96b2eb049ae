import * as net from 'node:net'

/** What one connection of a crowd sends. It reads nothing unless `reads`, and stays open. */
export interface Behaviour {
  head: string
  /** Sent after the head, over and over. */
  block: Buffer
  /** Bytes to send after the head, in whole blocks. */
  bytes: number
  reads: boolean
}

const BLOCK_BYTES = 64 * 1024

/** Returns a block of HTTP chunks of a size. */
export function chunkedBlock (chunkBytes: number): Buffer {
  const chunk = Buffer.concat([Buffer.from(`${chunkBytes.toString(16)}\r\n`), Buffer.alloc(chunkBytes, 'x'), Buffer.from('\r\n')])
  return repeatedBlock(chunk)
}

/** Returns a block that consists of whole copies of a piece. */
export function repeatedBlock (piece: string | Buffer): Buffer {
  const bytes = Buffer.from(piece)
  return Buffer.concat(Array.from({ length: Math.max(1, Math.floor(BLOCK_BYTES / bytes.length)) }, () => bytes))
}

/** Connections that hold what they can of a process. */
export class Crowd {
  readonly #sockets: net.Socket[] = []

  /** Opens connections that behave alike, and sends as fast as they are read. */
  join (address: string, connections: number, behaviour: (index: number) => Behaviour): void {
    const [host, port] = address.split(':')
    for (let index = 0; index < connections; index += 1) {
      const socket = net.connect(Number(port), host)
      socket.on('error', () => {})
      this.#sockets.push(socket)
      startSending(socket, behaviour(index))
    }
  }

  leave (): void {
    for (const socket of this.#sockets) socket.destroy()
  }
}

function startSending (socket: net.Socket, { head, block, bytes, reads }: Behaviour): void {
  if (reads) socket.resume()
  else socket.pause()
  if (head !== '') socket.write(head)
  let left = bytes
  const send = (): void => {
    while (block.length > 0 && left >= block.length && !socket.destroyed) {
      left -= block.length
      if (!socket.write(block)) {
        socket.once('drain', send)
        return
      }
    }
  }
  send()
}

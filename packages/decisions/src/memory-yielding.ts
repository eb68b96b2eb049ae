const BYTES_PER_MEGABYTE = 1024 * 1024

/** Memory that a process under load needs for itself, in megabytes, with read buffers that wait to be freed. */
const OWN_MEGABYTES = 120

/** Share of the rest that bodies and answers may occupy. Freed blocks are kept for a while, and small chunks cost more than their bytes. */
const BODY_SHARE = 0.5

/** Room for bodies on the smallest host, in bytes. */
const MINIMUM_CAPACITY_BYTES = 8 * BYTES_PER_MEGABYTE

/** Share of the room that large bodies may occupy. The rest is kept for ordinary ones. */
const LARGE_BODY_SHARE = 0.75

/** Size up to which a body is ordinary and is read without asking for room, in bytes. */
export const ORDINARY_BODY_BYTES = 64 * 1024

/** Time after which a body that does not grow is given up while others want its room, in milliseconds. */
export const MAXIMUM_STILL_MS = 2000

/** Largest part of the room that the answers to one connection may occupy before its caller reads them. */
const CONNECTION_SHARE = 0.2

/** Share of the room up to which answers are read ahead of their callers, and the same for a caller that has read nothing for long. */
const READ_AHEAD_SHARE = 0.3
const STILL_READ_AHEAD_SHARE = 0.15

/** Memory that an answer occupies before it is passed on: what is held back of it, and as much in read buffers. In bytes. */
const BUFFERED_ANSWER_BYTES = 512 * 1024

/** Requests in progress on a connection, on the smallest host and on any. */
const MINIMUM_REQUESTS_AHEAD = 8
const MAXIMUM_REQUESTS_AHEAD = 64

/** Descriptors of a host that are for files, at most half of them. */
const FILE_DESCRIPTORS = 200

/** Share of the other descriptors that callers' connections may use. The rest is for the store, other gateways and the platform's ports. */
const CALLER_DESCRIPTOR_SHARE = 0.7

/** The same for connections to targets that are in use. */
const TARGET_DESCRIPTOR_SHARE = 0.25

/** A body that is being read or has been read. */
export interface HeldBody {
  bytes: number
  /** Bytes by which it may still grow. */
  missingBytes: number
  /** Time at which it last grew, in clock milliseconds. */
  movedAt: number
  /** It is not read, for want of room. */
  isWaiting: boolean
}

/** Answers that wait in a connection until its caller reads them. */
export interface HeldAnswers {
  bytes: number
  /** Time at which the caller last read, in clock milliseconds. */
  movedAt: number
  /** The caller can have the answer continued on another connection. */
  isResumable?: boolean
}

/** What becomes of a body: it is read on, it waits for room, or it is refused unrun and its memory freed. */
export const BodyTurn = { read: 'read', wait: 'wait', giveUp: 'give-up' } as const
export type BodyTurn = typeof BodyTurn[keyof typeof BodyTurn]

/** Returns the bytes that bodies may occupy in a process on a host with `memoryMb` megabytes. */
export function bodyCapacity (memoryMb: number): number {
  return Math.max(MINIMUM_CAPACITY_BYTES, (memoryMb - OWN_MEGABYTES) * BYTES_PER_MEGABYTE * BODY_SHARE)
}

/** Returns the connections that callers may keep to a process that may open `maximumDescriptors`. */
export function callerConnectionLimit (maximumDescriptors: number): number {
  return Math.max(1, Math.floor(socketDescriptors(maximumDescriptors) * CALLER_DESCRIPTOR_SHARE))
}

/** Returns the requests of one connection that may be in progress at the same time where bodies and answers may occupy `capacityBytes`. */
export function requestsAheadLimit (capacityBytes: number): number {
  const limit = Math.floor(capacityBytes * CONNECTION_SHARE / BUFFERED_ANSWER_BYTES)
  return Math.min(MAXIMUM_REQUESTS_AHEAD, Math.max(MINIMUM_REQUESTS_AHEAD, limit))
}

/** Returns the connections to targets that a process may use at the same time. */
export function targetConnectionLimit (maximumDescriptors: number): number {
  return Math.max(1, Math.floor(socketDescriptors(maximumDescriptors) * TARGET_DESCRIPTOR_SHARE))
}

/** Returns true if a new body of `announcedBytes`, undefined if it comes in chunks, may be read where `heldBytes` are occupied. */
export function mayTakeBody (announcedBytes: number | undefined, heldBytes: number, capacityBytes: number): boolean {
  if (announcedBytes === 0) return true
  const isLarge = (announcedBytes ?? 0) > ORDINARY_BODY_BYTES
  return heldBytes + (isLarge ? 0 : announcedBytes ?? ORDINARY_BODY_BYTES) <= capacityBytes * (isLarge ? LARGE_BODY_SHARE : 1)
}

/** Returns true if all large bodies can grow to their ends. */
export function hasRoomForAll (heldBytes: number, missingBytes: number, capacityBytes: number): boolean {
  return heldBytes + missingBytes <= capacityBytes * LARGE_BODY_SHARE
}

/**
 * Returns what becomes of each body that is larger than an ordinary one and not whole yet. Those that lack least go first, and each that is
 * read has room to its end, so that some always become whole or are given up.
 */
export function bodyTurns<Body extends HeldBody> (bodies: readonly Body[], heldBytes: number, capacityBytes: number, now: number): Map<Body, BodyTurn> {
  const missingBytes = bodies.reduce((sum, body) => sum + body.missingBytes, 0)
  if (hasRoomForAll(heldBytes, missingBytes, capacityBytes)) return new Map(bodies.map((body) => [body, BodyTurn.read]))
  const turns = new Map<Body, BodyTurn>()
  let roomBytes = capacityBytes * LARGE_BODY_SHARE - heldBytes
  for (const body of [...bodies].sort((one, other) => one.missingBytes - other.missingBytes)) {
    if (!body.isWaiting && now - body.movedAt > MAXIMUM_STILL_MS) {
      turns.set(body, BodyTurn.giveUp)
      roomBytes += body.bytes
    } else if (body.missingBytes <= roomBytes) {
      turns.set(body, BodyTurn.read)
      roomBytes -= body.missingBytes
    } else {
      turns.set(body, BodyTurn.wait)
    }
  }
  return turns
}

/**
 * Returns the connections to close so that `excessBytes` become free: first those whose callers have read nothing for long, the stillest first,
 * then those that hold most. An answer that can be continued goes before others that are still, and counts double among the rest.
 */
export function answersToClose<Answers extends HeldAnswers> (holders: readonly Answers[], excessBytes: number, now: number): Answers[] {
  const still = stillHolders(holders, now)
  const moving = holders.filter((holder) => !still.includes(holder)).sort((one, other) => weight(other) - weight(one))
  const inOrder = [...still.filter(isResumable), ...still.filter((holder) => !isResumable(holder)), ...moving]
  const closed: Answers[] = []
  let freedBytes = 0
  for (const holder of inOrder) {
    if (freedBytes >= excessBytes) break
    freedBytes += holder.bytes
    closed.push(holder)
  }
  return closed
}

/** Returns true if more of an answer may be read from its target while its caller has yet to read what `holder` keeps. */
export function mayReadAhead (holder: HeldAnswers, heldBytes: number, capacityBytes: number, now: number): boolean {
  const isStill = now - holder.movedAt > MAXIMUM_STILL_MS
  return heldBytes <= capacityBytes * (isStill ? STILL_READ_AHEAD_SHARE : READ_AHEAD_SHARE)
}

/** Returns the bodies or answers that have not moved for long, the stillest first. */
export function stillHolders<Holder extends HeldAnswers> (holders: readonly Holder[], now: number): Holder[] {
  return holders.filter((holder) => now - holder.movedAt > MAXIMUM_STILL_MS).sort((one, other) => one.movedAt - other.movedAt)
}

function isResumable (holder: HeldAnswers): boolean {
  return holder.isResumable === true
}

function weight (holder: HeldAnswers): number {
  return holder.bytes * (isResumable(holder) ? 2 : 1)
}

function socketDescriptors (maximumDescriptors: number): number {
  return maximumDescriptors - Math.min(FILE_DESCRIPTORS, maximumDescriptors / 2)
}

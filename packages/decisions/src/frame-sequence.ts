/** Position of one frame within the answer to a request. */
export interface FramePosition {
  requestId: string
  offset: number
}

/** Classification of an arriving frame. Only `deliver` passes the frame on. */
export const FrameVerdict = { deliver: 'deliver', duplicate: 'duplicate', foreign: 'foreign', gap: 'gap' } as const
export type FrameVerdict = typeof FrameVerdict[keyof typeof FrameVerdict]

/** Deduplicates the frames of one answer and detects gaps, so that each is delivered once and in order. */
export class FrameSequence {
  readonly #requestId: string
  #nextOffset: number

  constructor (requestId: string, firstOffset: number) {
    this.#requestId = requestId
    this.#nextOffset = firstOffset
  }

  /** Offset of the next frame to deliver, from which a broken stream resumes. */
  get nextOffset (): number {
    return this.#nextOffset
  }

  /** Classifies a frame. Advances the sequence if the frame is the next one, and stays in place otherwise. */
  accept (position: FramePosition): FrameVerdict {
    if (position.requestId !== this.#requestId) return FrameVerdict.foreign
    if (position.offset < this.#nextOffset) return FrameVerdict.duplicate
    if (position.offset > this.#nextOffset) return FrameVerdict.gap
    this.#nextOffset += 1
    return FrameVerdict.deliver
  }
}

/** Identity and position of one frame of an answer. */
export interface FramePosition {
  requestId: string
  offset: number
}

/** What to do with an arrived frame. */
export const FrameVerdict = { deliver: 'deliver', duplicate: 'duplicate', foreign: 'foreign', gap: 'gap' } as const
export type FrameVerdict = typeof FrameVerdict[keyof typeof FrameVerdict]

/** Lets through each frame of one answer once and in order. */
export class FrameSequence {
  readonly #requestId: string
  #next: number

  constructor (requestId: string, firstOffset: number) {
    this.#requestId = requestId
    this.#next = firstOffset
  }

  /** The offset that has to come next; also where a resumed stream starts. */
  get nextOffset (): number {
    return this.#next
  }

  /** Judges a frame and moves on where it is the expected one. */
  accept (position: FramePosition): FrameVerdict {
    if (position.requestId !== this.#requestId) return FrameVerdict.foreign
    if (position.offset < this.#next) return FrameVerdict.duplicate
    if (position.offset > this.#next) return FrameVerdict.gap
    this.#next += 1
    return FrameVerdict.deliver
  }
}

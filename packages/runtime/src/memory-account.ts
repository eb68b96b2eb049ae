import * as decisions from '@acaciaweir/decisions'

const { BodyTurn, ORDINARY_BODY_BYTES } = decisions.memoryYielding

/** Interval at which the turns of bodies change while not all have room, in milliseconds. */
const REVIEW_INTERVAL_MS = 200

/** Bodies that are named in the log when the account begins to push back. */
const NAMED_BODIES = 5

/** What the account tells the reader of a body. */
export interface BodyReader {
  pause: () => void
  resume: () => void
  /** The body must be dropped: others need its room. */
  giveUp: () => void
}

export interface MemoryAccountOptions {
  clock: decisions.clock.Clock
  /** Bytes that all bodies and unread answers together may occupy. */
  capacityBytes: number
  /** Called when the account begins or ceases to push back, with the sizes of the largest bodies. */
  onPushBack: (isPushingBack: boolean, largestBytes: number[]) => void
}

/** One body in the account. */
export class BodyHolding implements decisions.memoryYielding.HeldBody {
  readonly #account: MemoryAccount
  readonly reader: BodyReader
  bytes = 0
  missingBytes = 0
  movedAt = 0
  isWaiting = false

  constructor (account: MemoryAccount, reader: BodyReader) {
    this.#account = account
    this.reader = reader
  }

  /** Adds memory for the body, which may grow by `missingBytes` more. */
  grow (bytes: number, missingBytes: number): void {
    this.#account.grow(this, bytes, missingBytes)
  }

  /** Tells that bytes have arrived. */
  move (now: number): void {
    this.movedAt = now
  }

  /** The body is whole: it keeps its memory until `release`. */
  complete (): void {
    this.#account.complete(this)
  }

  release (): void {
    this.#account.release(this)
  }
}

/** The answers that wait in one connection until its caller reads them. */
export class AnswerHolding implements decisions.memoryYielding.HeldAnswers {
  readonly #account: MemoryAccount
  readonly close: () => void
  readonly #sentBytes: () => number
  #sentBefore = 0
  bytes = 0
  movedAt = 0
  isResumable = false

  /** `close` closes the connection, which must release the bytes in time; `sentBytes` returns how many its caller has taken so far. */
  constructor (account: MemoryAccount, close: () => void, sentBytes: () => number) {
    this.#account = account
    this.close = close
    this.#sentBytes = sentBytes
  }

  /** Takes note of whether the caller has read since this was last called. */
  noteProgress (now: number): void {
    const sent = this.#sentBytes()
    if (sent !== this.#sentBefore) this.movedAt = now
    this.#sentBefore = sent
  }

  /** More of the answer may be read from the target before the caller reads what waits. */
  get mayReadAhead (): boolean {
    return this.#account.mayReadAhead(this)
  }

  /** Adds bytes that wait, or takes away those that the caller has read. */
  add (bytes: number): void {
    if (bytes !== 0) this.#account.addAnswerBytes(this, bytes)
  }
}

/** Adds up the memory of request bodies and unread answers, and lets go of what would exceed what the process has. */
export class MemoryAccount {
  readonly #options: MemoryAccountOptions
  /** Bodies that are larger than an ordinary one and not whole yet. */
  readonly #growing = new Set<BodyHolding>()
  /** Ordinary bodies that are not whole yet. */
  readonly #ordinary = new Set<BodyHolding>()
  readonly #answers = new Set<AnswerHolding>()
  #heldBytes = 0
  #answerBytes = 0
  #timer: NodeJS.Timeout | undefined
  #isPushingBack = false

  constructor (options: MemoryAccountOptions) {
    this.#options = options
  }

  /** Bytes that bodies and answers may occupy. */
  get capacityBytes (): number {
    return this.#options.capacityBytes
  }

  get heldBytes (): number {
    return this.#heldBytes
  }

  /** Part of `heldBytes` that unread answers occupy. */
  get answerBytes (): number {
    return this.#answerBytes
  }

  get waitingBodies (): number {
    return [...this.#growing].filter((body) => body.isWaiting).length
  }

  /** Returns true if a body of `announcedBytes`, undefined for one in chunks, may be read now. */
  mayTake (announcedBytes: number | undefined): boolean {
    const { capacityBytes } = this.#options
    if (decisions.memoryYielding.mayTakeBody(announcedBytes, this.#heldBytes, capacityBytes)) return true
    this.#giveUpStillBodies()
    return decisions.memoryYielding.mayTakeBody(announcedBytes, this.#heldBytes, capacityBytes)
  }

  open (reader: BodyReader): BodyHolding {
    return new BodyHolding(this, reader)
  }

  openAnswers (close: () => void, sentBytes = (): number => 0): AnswerHolding {
    return new AnswerHolding(this, close, sentBytes)
  }

  mayReadAhead (answers: AnswerHolding): boolean {
    const { clock, capacityBytes } = this.#options
    answers.noteProgress(clock.now())
    return decisions.memoryYielding.mayReadAhead(answers, this.#heldBytes, capacityBytes, clock.now())
  }

  addAnswerBytes (answers: AnswerHolding, bytes: number): void {
    if (bytes < 0 || answers.bytes === 0) answers.movedAt = this.#options.clock.now()
    answers.bytes += bytes
    this.#answerBytes += bytes
    this.#heldBytes += bytes
    if (answers.bytes > 0) this.#answers.add(answers)
    else this.#answers.delete(answers)
    const excessBytes = this.#heldBytes - this.#options.capacityBytes
    if (bytes <= 0 || excessBytes <= 0) return
    this.#closeAnswers(decisions.memoryYielding.answersToClose(this.#heldAnswers(), excessBytes, this.#options.clock.now()))
  }

  /** Closes the connection whose caller has not read for longest, if one has not for long. */
  closeStillestAnswers (): void {
    this.#closeAnswers(decisions.memoryYielding.stillHolders(this.#heldAnswers(), this.#options.clock.now()).slice(0, 1))
  }

  #heldAnswers (): AnswerHolding[] {
    for (const answers of this.#answers) answers.noteProgress(this.#options.clock.now())
    return [...this.#answers]
  }

  #closeAnswers (holders: AnswerHolding[]): void {
    for (const holder of holders) {
      holder.add(-holder.bytes)
      holder.close()
    }
  }

  grow (body: BodyHolding, bytes: number, missingBytes: number): void {
    this.#heldBytes += bytes
    body.bytes += bytes
    body.missingBytes = missingBytes
    if (missingBytes === 0 || this.#growing.has(body)) return
    body.movedAt = this.#options.clock.now()
    if (body.bytes < ORDINARY_BODY_BYTES) {
      this.#ordinary.add(body)
      return
    }
    this.#ordinary.delete(body)
    this.#growing.add(body)
    this.#review()
  }

  complete (body: BodyHolding): void {
    this.#ordinary.delete(body)
    if (this.#growing.delete(body)) this.#review()
  }

  release (body: BodyHolding): void {
    this.#heldBytes -= body.bytes
    body.bytes = 0
    this.#ordinary.delete(body)
    const wasGrowing = this.#growing.delete(body)
    if (wasGrowing || this.#timer !== undefined) this.#scheduleReview()
  }

  /** Gives up the bodies that have stood still for long, while the account is full. */
  #giveUpStillBodies (): void {
    const bodies = [...this.#ordinary, ...this.#growing].filter((body) => !body.isWaiting)
    for (const body of decisions.memoryYielding.stillHolders(bodies, this.#options.clock.now())) this.#giveUp(body)
  }

  #review (): void {
    const { clock, capacityBytes } = this.#options
    for (const [body, turn] of decisions.memoryYielding.bodyTurns([...this.#growing], this.#heldBytes, capacityBytes, clock.now())) {
      if (turn === BodyTurn.giveUp) this.#giveUp(body)
      else this.#setWaiting(body, turn === BodyTurn.wait)
    }
    const isPushingBack = [...this.#growing].some((body) => body.isWaiting)
    if (isPushingBack) this.#scheduleReview()
    this.#reportPushBack(isPushingBack)
  }

  #reportPushBack (isPushingBack: boolean): void {
    if (isPushingBack === this.#isPushingBack) return
    this.#isPushingBack = isPushingBack
    const sizes = [...this.#growing].map((body) => body.bytes).sort((one, other) => other - one)
    this.#options.onPushBack(isPushingBack, sizes.slice(0, NAMED_BODIES))
  }

  #scheduleReview (): void {
    if (this.#timer !== undefined) return
    this.#timer = setTimeout(() => {
      this.#timer = undefined
      this.#review()
    }, REVIEW_INTERVAL_MS)
    this.#timer.unref()
  }

  #setWaiting (body: BodyHolding, isWaiting: boolean): void {
    if (body.isWaiting === isWaiting) return
    body.isWaiting = isWaiting
    if (isWaiting) body.reader.pause()
    else {
      body.movedAt = this.#options.clock.now()
      body.reader.resume()
    }
  }

  #giveUp (body: BodyHolding): void {
    this.#growing.delete(body)
    body.reader.giveUp()
  }
}

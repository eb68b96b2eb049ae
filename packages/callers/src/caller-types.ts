/** An authenticated caller. */
export interface Caller {
  /** Name of the client account. */
  account: string
  priority: number
}

/** State of the check for earlier attempts with the same Idempotency-Key. */
export interface KeyCheck {
  /** Set once the handler checks the key. Until then, a refusal can't tell whether an earlier attempt has run. */
  isDone: boolean
}

/** Properties that all kinds of calls share. */
export interface CallEnvelope {
  caller: Caller
  /** Name of the budget that the caller chose; if undefined, the account's default budget applies. */
  budget: string | undefined
  /** The Idempotency-Key header, if the caller sent it. */
  key: string | undefined
  /** False if the request may run at most once. */
  repeatable: boolean
  keyCheck: KeyCheck
  /** Request headers, from which the trace context is extracted. */
  headers: Record<string, unknown>
  /** Aborts if the caller's connection closes before the answer is complete. */
  disconnectSignal: AbortSignal
}

/** A model request. */
export interface ModelCall extends CallEnvelope {
  model: string
  messages: Array<{ role: string, content: string }>
  maximumOutputTokens: number | undefined
  /** The complete body as the caller sent it. */
  body: Record<string, unknown>
}

/** A call to a plain service. */
export interface ServiceCall extends CallEnvelope {
  service: string
  method: string
  path: string
  contentType: string
  body: string
}

/** A request to continue a stream at an offset. */
export interface ResumeCall {
  caller: Caller
  target: string
  requestId: string
  /** Index of the first frame to send. */
  offset: number
  /** Aborts if the caller's connection closes before the answer is complete. */
  disconnectSignal: AbortSignal
}

/** Answer of a plain service. */
export interface ServiceOutcome {
  requestId: string
  status: number
  contentType: string
  body: string
}

/** Sends the frames of a model answer to the caller. */
export abstract class AnswerSink {
  /** Starts the answer. Called before the first frame; may be called again with the same arguments. */
  abstract begin (requestId: string, target: string): void
  /** Adds one frame; `data` is a chat completion chunk as JSON. */
  abstract writeFrame (data: string): void
  /** Completes the answer. */
  abstract end (): void
  /** Returns true once `begin` has been called. */
  abstract get hasBegun (): boolean
  /** Returns the number of frames added so far. */
  abstract get frameCount (): number
}

/** An entry host as reported to callers. */
export interface EntryHost {
  host: string
  address: string
  availabilityZone: string
  /** Prefix of the Idempotency-Keys of at-most-once requests that this host may run. */
  keyPrefix: string
}

/** The entry hosts that a caller should use. */
export interface EntryHosts {
  hosts: EntryHost[]
  /** Time for which the caller may cache the list, in seconds. */
  keepSeconds: number
}

/** Handles the calls of callers. Promises reject with ProblemError if a call fails. */
export abstract class CallHandler {
  /** Returns the caller that a bearer key belongs to, or undefined if the key is unknown. */
  abstract authenticate (bearerKey: string): Caller | undefined
  abstract entryHosts (caller: Caller): EntryHosts
  abstract serveModel (call: ModelCall, sink: AnswerSink): Promise<void>
  abstract serveService (call: ServiceCall): Promise<ServiceOutcome>
  abstract resumeStream (call: ResumeCall, sink: AnswerSink): Promise<void>
  /** Returns the reason why requests cannot be served yet, or undefined if they can. */
  abstract notReadyReason (): string | undefined
}

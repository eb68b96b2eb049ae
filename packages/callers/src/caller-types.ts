/** A caller that showed a valid key. */
export interface Caller {
  account: string
  priority: number
}

/** Whether it is known that no earlier try with the same key has run. */
export interface KeyProof {
  checked: boolean
}

/** What every kind of call has in common. */
export interface CallEnvelope {
  caller: Caller
  /** Budget named by the caller; the account's default where undefined. */
  budget: string | undefined
  /** The caller's Idempotency-Key, where it sent one. */
  key: string | undefined
  repeatable: boolean
  /** What has been proved about the key so far. */
  proof: KeyProof
  /** Incoming headers, for the trace context. */
  headers: Record<string, unknown>
  /** Aborted when the caller's connection closes before the answer has ended. */
  gone: AbortSignal
}

/** A model request. */
export interface ModelCall extends CallEnvelope {
  model: string
  messages: Array<{ role: string, content: string }>
  maximumOutputTokens: number | undefined
  /** The whole body as the caller sent it. */
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
  offset: number
  gone: AbortSignal
}

/** Answer of a plain service. */
export interface ServiceOutcome {
  requestId: string
  status: number
  contentType: string
  body: string
}

/** Takes the frames of a model answer on their way to the caller. */
export abstract class AnswerSink {
  /** Called once, before the first frame. */
  abstract begin (requestId: string, target: string): void
  /** Passes one frame on; `data` is the text of a chat completion chunk. */
  abstract frame (data: string): void
  /** Ends a whole answer. */
  abstract end (): void
  /** True once `begin` has been called. */
  abstract get begun (): boolean
  /** Frames passed on so far. */
  abstract get frames (): number
}

/** An entry host in the answer to callers. */
export interface EntryHost {
  host: string
  address: string
  availabilityZone: string
  /** Prefix of keys that this host may run at most once. */
  keyPrefix: string
}

/** The entry hosts that a caller should use, and for how long. */
export interface EntryHosts {
  hosts: EntryHost[]
  keepSeconds: number
}

/** Serves what callers ask. Implemented by the router. Methods reject with ProblemError. */
export abstract class CallHandler {
  abstract authenticate (bearerKey: string): Caller | undefined
  abstract entryHosts (caller: Caller): EntryHosts
  abstract serveModel (call: ModelCall, sink: AnswerSink): Promise<void>
  abstract serveService (call: ServiceCall): Promise<ServiceOutcome>
  abstract resumeStream (call: ResumeCall, sink: AnswerSink): Promise<void>
  /** Undefined where requests can be served; otherwise the reason why not. */
  abstract notReadyReason (): string | undefined
}

/** A model request to send to an engine. */
export interface EngineRequest {
  requestId: string
  /** Incarnation of the router that sends the request. */
  incarnation: string
  priority: number
  /** The caller's body. It is forwarded with `stream: true`. */
  body: Record<string, unknown>
  traceHeaders: Record<string, string>
}

/** Tokens that an engine processed and generated for one request. */
export interface Usage {
  promptTokens: number
  completionTokens: number
}

/** One frame of an answer. Only the last frame has a usage. */
export interface EngineFrame {
  requestId: string
  /** Index of the frame in the answer. */
  offset: number
  /** A chat completion chunk as JSON. */
  data: string
  usage?: Usage
}

/**
 * An engine's response to a cancellation: the request has ended, another router is reading its answer, or it never ran.
 * `incarnation` is the router incarnation that read the answer last. `rememberedMs` is how far back the engine remembers
 * requests, in milliseconds; it is shorter after a restart.
 */
export type CancelResult =
  | { kind: 'ended', usage: Usage, finished: boolean, incarnation: string }
  | { kind: 'attached', incarnation: string }
  | { kind: 'never-ran', rememberedMs: number }

/** The load that an engine reports. */
export interface LoadReport {
  /** Number of requests that are running. */
  running: number
  /** Number of requests in the queue. */
  waiting: number
  /** True if the engine is leaving and accepts no new requests. */
  leaving: boolean
}

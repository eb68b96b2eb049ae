/** A model request on its way to an engine. */
export interface EngineRequest {
  requestId: string
  incarnation: string
  priority: number
  /** The caller's body, passed on with streaming switched on. */
  body: Record<string, unknown>
  traceHeaders: Record<string, string>
}

/** Tokens that an engine served for one request. */
export interface Usage {
  promptTokens: number
  completionTokens: number
}

/** One frame of an answer. The last frame carries the usage. */
export interface EngineFrame {
  requestId: string
  offset: number
  data: string
  usage?: Usage
}

/**
 * What an engine knows of a request when asked to cancel it. `incarnation` is the router that read it last;
 * `rememberedMs` is the time for which the engine remembers requests, less after a restart.
 */
export type CancelResult =
  | { kind: 'ended', usage: Usage, finished: boolean, incarnation: string }
  | { kind: 'attached', incarnation: string }
  | { kind: 'never-ran', rememberedMs: number }

/** An engine's load, as it reports it. */
export interface LoadReport {
  running: number
  waiting: number
  leaving: boolean
}

/** Snapshot of a target from which routing policies choose. */
export interface Candidate {
  id: string
  /** This router's requests in flight at the target. */
  ownInFlight: number
  /** Requests that the target can serve concurrently. */
  slots: number
  /** Running and queued requests, as the target last reported. */
  reportedLoad: number
  /** Age of the load report in milliseconds; infinite before the first report. */
  reportAgeMs: number
  leaving: boolean
  silent: boolean
}

/** Properties of a request that routing considers. */
export interface RoutedRequest {
  /** Hash of the beginning of the prompt. */
  prefixHash: number
}

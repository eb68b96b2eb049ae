/** A target as a router sees it at the moment of choosing. */
export interface Candidate {
  id: string
  /** Requests of this router at the target now. */
  ownInFlight: number
  /** Requests that the target can serve at once. */
  slots: number
  /** Requests that the target last reported, running and waiting. */
  reportedLoad: number
  /** Age of that report in milliseconds; infinite before the first. */
  reportAgeMs: number
  leaving: boolean
  silent: boolean
}

/** What routing may know of a request. */
export interface RoutedRequest {
  /** Hash of the prompt's first part; equal prefixes have equal hashes. */
  prefixHash: number
}

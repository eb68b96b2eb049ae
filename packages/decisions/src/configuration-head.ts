/** The small object that names the configuration in force. */
export interface ConfigurationHead {
  generation: number
  /** Identity of the change, by which an operator recognises its own write. */
  changeId: string
  /** Identities of the changes before, newest first, so that a superseded change is recognised too. */
  earlierChanges: Array<{ generation: number, changeId: string }>
  /** Content hashes of the manifest's chunks, in order. */
  chunks: string[]
}

/** Keeps the highest generation seen; lower ones are never taken. */
export class ConfigurationTracker<Manifest> {
  #head: ConfigurationHead | undefined
  #manifest: Manifest | undefined

  /** True where the head is newer than the one in force. */
  isNewer (head: Pick<ConfigurationHead, 'generation'>): boolean {
    return this.#head === undefined || head.generation > this.#head.generation
  }

  /** Puts a manifest in force. Returns false, and changes nothing, where it is not newer. */
  accept (head: ConfigurationHead, manifest: Manifest): boolean {
    if (!this.isNewer(head)) return false
    this.#head = head
    this.#manifest = manifest
    return true
  }

  /** The generation in force; 0 before the first. */
  get generation (): number {
    return this.#head?.generation ?? 0
  }

  get head (): ConfigurationHead | undefined {
    return this.#head
  }

  get manifest (): Manifest | undefined {
    return this.#manifest
  }
}

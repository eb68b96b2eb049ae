/** Small stored object that identifies the active configuration and the chunks of its manifest. */
export interface ConfigurationHead {
  generation: number
  /** Identifier of the change, by which an operator recognises its own write. */
  changeId: string
  /** Identifiers of earlier changes, newest first, so that an operator recognises its change after a later one replaced it. */
  earlierChanges: Array<{ generation: number, changeId: string }>
  /** Content hashes of the manifest's chunks, in order. */
  chunks: string[]
}

/** Keeps the configuration of the highest generation seen; the generation never decreases. */
export class ConfigurationTracker<Manifest> {
  #head: ConfigurationHead | undefined
  #manifest: Manifest | undefined

  /** Returns whether a head's generation is higher than the active one. */
  isNewer (head: Pick<ConfigurationHead, 'generation'>): boolean {
    return this.#head === undefined || head.generation > this.#head.generation
  }

  /** Activates a manifest. Returns false and changes nothing if its generation is not higher. */
  accept (head: ConfigurationHead, manifest: Manifest): boolean {
    if (!this.isNewer(head)) return false
    this.#head = head
    this.#manifest = manifest
    return true
  }

  /** Active generation; 0 before the first manifest. */
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

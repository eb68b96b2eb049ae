import type * as decisions from '@acaciaweir/decisions'
import * as platform from '@acaciaweir/platform'
import * as crypto from 'node:crypto'
import * as manifests from './manifest.js'

/** Largest chunk of a manifest, in characters; leaves room below the platform's limit for other encodings. */
const CHUNK_CHARACTERS = 250_000

/** Changes that the head remembers, for operators whose answers were lost. */
const REMEMBERED_CHANGES = 32

/** A manifest in force. */
export interface Configuration {
  head: decisions.configurationHead.ConfigurationHead
  manifest: manifests.Manifest
}

/** Outcome of an operator's change. */
export type ApplyResult =
  | { kind: 'accepted', generation: number }
  | { kind: 'conflict', generationInForce: number }

/** Reads and changes the configuration that the platform holds. */
export class ConfigurationStore {
  readonly #platform: platform.platformClient.PlatformClient

  constructor (client: platform.platformClient.PlatformClient) {
    this.#platform = client
  }

  /** Reads the head, or undefined before the first configuration. Throws PlatformUnavailable. */
  async readHead (): Promise<decisions.configurationHead.ConfigurationHead | undefined> {
    const stored = await this.#platform.read(platform.objectKeys.CONFIGURATION_HEAD_KEY)
    return stored?.value as decisions.configurationHead.ConfigurationHead | undefined
  }

  /** Waits for another head than the one with the known version. Throws PlatformUnavailable. */
  async watchHead (knownVersion: string | undefined, waitMs: number): Promise<platform.platformClient.StoredObject | undefined> {
    return await this.#platform.watch(platform.objectKeys.CONFIGURATION_HEAD_KEY, knownVersion, waitMs)
  }

  /** Reads the manifest that a head names. Throws PlatformUnavailable, also where a chunk does not match its hash. */
  async readManifest (head: decisions.configurationHead.ConfigurationHead): Promise<manifests.Manifest> {
    let text = ''
    for (const hash of head.chunks) text += await this.#readChunk(hash)
    return JSON.parse(text) as manifests.Manifest
  }

  /** Reads the configuration in force. Throws PlatformUnavailable. */
  async read (): Promise<Configuration | undefined> {
    const head = await this.readHead()
    if (head === undefined) return undefined
    return { head, manifest: await this.readManifest(head) }
  }

  /**
   * Puts a manifest in force where the generation in force is the expected one; 0 means none.
   * A lost answer is settled by reading the head back, so that a change is never applied twice.
   * Throws PlatformUnavailable.
   */
  async apply (manifest: manifests.Manifest, expectedGeneration: number, changeId: string): Promise<ApplyResult> {
    const chunks = splitManifest(JSON.stringify(manifest))
    for (const chunk of chunks) await this.#writeChunk(chunk)
    const hashes = chunks.map(hashOf)
    return await platform.conditionalUpdate.updateObject<decisions.configurationHead.ConfigurationHead, ApplyResult>(
      this.#platform,
      platform.objectKeys.CONFIGURATION_HEAD_KEY,
      (present) => {
        const earlier = changesOf(present)
        const own = earlier.find((change) => change.changeId === changeId)
        if (own !== undefined) return { kind: 'keep', result: { kind: 'accepted', generation: own.generation } }
        const inForce = present?.generation ?? 0
        if (inForce !== expectedGeneration) return { kind: 'keep', result: { kind: 'conflict', generationInForce: inForce } }
        const generation = expectedGeneration + 1
        return { kind: 'write', value: { generation, changeId, chunks: hashes, earlierChanges: earlier }, result: { kind: 'accepted', generation } }
      }
    )
  }

  async #readChunk (hash: string): Promise<string> {
    const stored = await this.#platform.read(platform.objectKeys.chunkKey(hash))
    const text = (stored?.value as { text: string } | undefined)?.text ?? ''
    if (hashOf(text) !== hash) throw new platform.platformClient.PlatformUnavailable('read chunk', `chunk ${hash} is missing or altered`)
    return text
  }

  async #writeChunk (text: string): Promise<void> {
    await platform.conditionalUpdate.updateObject<{ text: string }, undefined>(
      this.#platform,
      platform.objectKeys.chunkKey(hashOf(text)),
      (present) => present === undefined
        ? { kind: 'write', value: { text }, result: undefined }
        : { kind: 'keep', result: undefined }
    )
  }
}

function changesOf (head: decisions.configurationHead.ConfigurationHead | undefined): decisions.configurationHead.ConfigurationHead['earlierChanges'] {
  if (head === undefined) return []
  return [{ generation: head.generation, changeId: head.changeId }, ...head.earlierChanges].slice(0, REMEMBERED_CHANGES)
}

function splitManifest (text: string): string[] {
  const chunks: string[] = []
  for (let start = 0; start < text.length; start += CHUNK_CHARACTERS) {
    chunks.push(text.slice(start, start + CHUNK_CHARACTERS))
  }
  return chunks
}

function hashOf (text: string): string {
  return crypto.createHash('sha256').update(text).digest('hex')
}

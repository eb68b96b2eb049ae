import type * as decisions from '@acaciaweir/decisions'
import * as platform from '@acaciaweir/platform'
import * as crypto from 'node:crypto'
import * as manifests from './manifest.js'

/** Stays below the platform's limit on the size of an object, so that a longer encoding of the text also fits. */
const MAXIMUM_CHUNK_CHARACTERS = 250_000

/** Earlier changes that the head lists, so that an operator whose answer was lost finds its own change. */
const MAXIMUM_EARLIER_CHANGES = 32

/** The manifest in force and the head that identifies it. */
export interface Configuration {
  head: decisions.configurationHead.ConfigurationHead
  manifest: manifests.Manifest
}

/** Outcome of an operator's change. `conflict` means that another generation than the expected one was in force. */
export type ApplyResult =
  | { kind: 'accepted', generation: number }
  | { kind: 'conflict', generationInForce: number }

/** Reads and changes the configuration stored in the platform. */
export class ConfigurationStore {
  readonly #platform: platform.platformClient.PlatformClient

  constructor (client: platform.platformClient.PlatformClient) {
    this.#platform = client
  }

  /** Returns the head, or undefined before the first configuration. Throws PlatformUnavailable. */
  async readHead (): Promise<decisions.configurationHead.ConfigurationHead | undefined> {
    const stored = await this.#platform.read(platform.objectKeys.CONFIGURATION_HEAD_KEY)
    return stored?.value as decisions.configurationHead.ConfigurationHead | undefined
  }

  /** Waits at most `waitMs` milliseconds for another head than the one with the known version. Throws PlatformUnavailable. */
  async watchHead (knownVersion: string | undefined, waitMs: number): Promise<platform.platformClient.StoredObject | undefined> {
    return await this.#platform.watch(platform.objectKeys.CONFIGURATION_HEAD_KEY, knownVersion, waitMs)
  }

  /** Returns the manifest that a head identifies. Throws PlatformUnavailable, also if a chunk does not match its hash. */
  async readManifest (head: decisions.configurationHead.ConfigurationHead): Promise<manifests.Manifest> {
    let text = ''
    for (const hash of head.chunks) text += await this.#readChunk(hash)
    return JSON.parse(text) as manifests.Manifest
  }

  /** Returns the configuration in force, or undefined before the first one. Throws PlatformUnavailable. */
  async read (): Promise<Configuration | undefined> {
    const head = await this.readHead()
    if (head === undefined) return undefined
    return { head, manifest: await this.readManifest(head) }
  }

  /**
   * Puts a manifest in force if the generation in force is the expected one; 0 stands for no configuration. After a lost
   * answer, the change is looked up in the head by its identifier, so that it is never applied twice.
   * Throws PlatformUnavailable.
   */
  async apply (manifest: manifests.Manifest, expectedGeneration: number, changeId: string): Promise<ApplyResult> {
    const chunks = splitManifest(JSON.stringify(manifest))
    for (const chunk of chunks) await this.#writeChunk(chunk)
    const hashes = chunks.map(contentHash)
    return await platform.conditionalUpdate.updateObject<decisions.configurationHead.ConfigurationHead, ApplyResult>(
      this.#platform,
      platform.objectKeys.CONFIGURATION_HEAD_KEY,
      (current) => {
        const earlierChanges = changeHistory(current)
        const ownChange = earlierChanges.find((change) => change.changeId === changeId)
        if (ownChange !== undefined) return { kind: 'keep', result: { kind: 'accepted', generation: ownChange.generation } }
        const generationInForce = current?.generation ?? 0
        if (generationInForce !== expectedGeneration) return { kind: 'keep', result: { kind: 'conflict', generationInForce } }
        const generation = expectedGeneration + 1
        return { kind: 'write', value: { generation, changeId, chunks: hashes, earlierChanges }, result: { kind: 'accepted', generation } }
      }
    )
  }

  async #readChunk (hash: string): Promise<string> {
    const stored = await this.#platform.read(platform.objectKeys.chunkKey(hash))
    const text = (stored?.value as { text: string } | undefined)?.text ?? ''
    if (contentHash(text) !== hash) throw new platform.platformClient.PlatformUnavailable('read chunk', `chunk ${hash} is missing or does not match its hash`)
    return text
  }

  async #writeChunk (text: string): Promise<void> {
    await platform.conditionalUpdate.updateObject<{ text: string }, undefined>(
      this.#platform,
      platform.objectKeys.chunkKey(contentHash(text)),
      (current) => current === undefined
        ? { kind: 'write', value: { text }, result: undefined }
        : { kind: 'keep', result: undefined }
    )
  }
}

/** Returns the latest changes, newest first, as the next head lists them. */
function changeHistory (head: decisions.configurationHead.ConfigurationHead | undefined): decisions.configurationHead.ConfigurationHead['earlierChanges'] {
  if (head === undefined) return []
  return [{ generation: head.generation, changeId: head.changeId }, ...head.earlierChanges].slice(0, MAXIMUM_EARLIER_CHANGES)
}

function splitManifest (text: string): string[] {
  const chunks: string[] = []
  for (let start = 0; start < text.length; start += MAXIMUM_CHUNK_CHARACTERS) {
    chunks.push(text.slice(start, start + MAXIMUM_CHUNK_CHARACTERS))
  }
  return chunks
}

function contentHash (text: string): string {
  return crypto.createHash('sha256').update(text).digest('hex')
}

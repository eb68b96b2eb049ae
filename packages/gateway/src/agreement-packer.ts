import type * as decisions from '@acaciaweir/decisions'
import * as zlib from 'node:zlib'

/** Size limit of a decompressed agreement, in bytes. */
const MAXIMUM_AGREEMENT_BYTES = 64 * 1024 * 1024

/**
 * Packs agreements for other gateways. A large one takes as long over the network as all gateways need that fetch it at the same time, so it
 * is compressed, once for each version.
 */
export class AgreementPacker {
  #packed: { version: number, bytes: Uint8Array } | undefined

  pack (agreement: decisions.agreementTypes.Agreement): Uint8Array {
    if (this.#packed?.version !== agreement.version) {
      this.#packed = { version: agreement.version, bytes: zlib.deflateSync(JSON.stringify(agreement)) }
    }
    return this.#packed.bytes
  }
}

/** Unpacks an agreement. Throws an `Error` if the bytes are none. */
export function unpackAgreement (bytes: Uint8Array): decisions.agreementTypes.Agreement {
  return JSON.parse(zlib.inflateSync(bytes, { maxOutputLength: MAXIMUM_AGREEMENT_BYTES }).toString())
}

import xxhash from 'xxhash-wasm'

const hasher = await xxhash()

/** Returns a 32-bit hash of a text, for placement. It is not cryptographic, so never use it for secrets. */
export function hashText (text: string, seed = 0): number {
  return hasher.h32(text, seed)
}

/** Returns the rendezvous hashing weight of a member for a key. The member with the lowest weight is preferred. */
export function rendezvousWeight (member: string, keyHash: number): number {
  return hasher.h32(member, keyHash)
}

/** Returns the members ordered by rendezvous hashing for a key, the preferred one first. */
export function rendezvousOrder<Member> (members: readonly Member[], key: string, nameOf: (member: Member) => string): Member[] {
  const keyHash = hashText(key)
  const weighted = members.map((member) => ({ member, weight: rendezvousWeight(nameOf(member), keyHash) }))
  weighted.sort((left, right) => left.weight - right.weight)
  return weighted.map((entry) => entry.member)
}

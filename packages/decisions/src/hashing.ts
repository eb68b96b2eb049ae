import xxhash from 'xxhash-wasm'

const hasher = await xxhash()

/** A 32-bit hash of a text; for placement, never for secrets. */
export function hashText (text: string, seed = 0): number {
  return hasher.h32(text, seed)
}

/** The weight of a member for a key under rendezvous hashing. The lowest weight wins. */
export function rendezvousWeight (member: string, keyHash: number): number {
  return hasher.h32(member, keyHash)
}

/** Members in the order in which rendezvous hashing prefers them for a key. */
export function rendezvousOrder<Member> (members: readonly Member[], key: string, nameOf: (member: Member) => string): Member[] {
  const keyHash = hashText(key)
  const weighted = members.map((member) => ({ member, weight: rendezvousWeight(nameOf(member), keyHash) }))
  weighted.sort((left, right) => left.weight - right.weight)
  return weighted.map((entry) => entry.member)
}

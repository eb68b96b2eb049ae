/** Upper bound of the tokens that a message costs beyond its role and content. */
const MESSAGE_OVERHEAD_TOKENS = 8

/** Returns an upper bound of a prompt's cost in tokens: no tokenizer produces more tokens than the text has bytes. */
export function worstCasePromptTokens (messages: ReadonlyArray<{ role: string, content: string }>): number {
  let tokens = 0
  for (const message of messages) {
    tokens += MESSAGE_OVERHEAD_TOKENS + Buffer.byteLength(message.content) + Buffer.byteLength(message.role)
  }
  return tokens
}

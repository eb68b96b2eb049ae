/** Tokens that a message may cost beyond its text. */
const MESSAGE_OVERHEAD_TOKENS = 8

/** The prompt's largest possible cost in tokens: no tokenizer makes more tokens than the text has bytes. */
export function worstCasePromptTokens (messages: ReadonlyArray<{ role: string, content: string }>): number {
  let tokens = 0
  for (const message of messages) {
    tokens += MESSAGE_OVERHEAD_TOKENS + Buffer.byteLength(message.content) + Buffer.byteLength(message.role)
  }
  return tokens
}

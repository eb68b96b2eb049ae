import * as decisions from '@acaciaweir/decisions'

/** The stand-in engine has no tokenizer and counts prompt tokens by length. */
const BYTES_PER_TOKEN = 4

/** Returns the number of prompt tokens of a request, as the stand-in engine counts them. */
export function countPromptTokens (messages: ReadonlyArray<{ content: string }>): number {
  return Math.ceil(Buffer.byteLength(promptText(messages)) / BYTES_PER_TOKEN)
}

/** Returns the length of the answer in tokens: from half the limit up to the limit, derived from the prompt. */
export function answerLength (messages: ReadonlyArray<{ content: string }>, limit: number): number {
  const minimum = Math.max(1, Math.floor(limit / 2))
  return minimum + decisions.hashing.hashText(promptText(messages)) % (limit - minimum + 1)
}

/** Returns one token of the answer. It is derived from the prompt, so that a caller can tell its own answer from another. */
export function answerToken (messages: ReadonlyArray<{ content: string }>, offset: number): string {
  return `${decisions.hashing.hashText(promptText(messages), 7).toString(36)}:${offset} `
}

/** Returns the whole text of the answer. */
export function wholeAnswer (messages: ReadonlyArray<{ content: string }>, limit: number): string {
  const length = answerLength(messages, limit)
  let text = ''
  for (let offset = 0; offset < length; offset += 1) text += answerToken(messages, offset)
  return text
}

function promptText (messages: ReadonlyArray<{ content: string }>): string {
  return messages.map((message) => message.content).join('\n')
}

import * as decisions from '@acaciaweir/decisions'

/** Bytes of text that the stand-in engine counts as one prompt token. */
const BYTES_PER_TOKEN = 4

/** Prompt tokens of a request, as the stand-in engine counts them. */
export function promptTokens (messages: ReadonlyArray<{ content: string }>): number {
  return Math.ceil(Buffer.byteLength(promptText(messages)) / BYTES_PER_TOKEN)
}

/** Length of the answer in tokens: between half and all of the limit, fixed by the prompt. */
export function answerLength (messages: ReadonlyArray<{ content: string }>, limit: number): number {
  const least = Math.max(1, Math.floor(limit / 2))
  return least + decisions.hashing.hashText(promptText(messages)) % (limit - least + 1)
}

/** One token of the answer, fixed by the prompt, so that a caller can tell its own answer from another. */
export function answerToken (messages: ReadonlyArray<{ content: string }>, offset: number): string {
  return `${decisions.hashing.hashText(promptText(messages), 7).toString(36)}:${offset} `
}

/** The whole answer. */
export function wholeAnswer (messages: ReadonlyArray<{ content: string }>, limit: number): string {
  const length = answerLength(messages, limit)
  let text = ''
  for (let offset = 0; offset < length; offset += 1) text += answerToken(messages, offset)
  return text
}

function promptText (messages: ReadonlyArray<{ content: string }>): string {
  return messages.map((message) => message.content).join('\n')
}

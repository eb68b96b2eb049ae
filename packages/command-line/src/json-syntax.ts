// JSON forbids control characters in strings.
// eslint-disable-next-line no-control-regex
const TOKEN = /([{}[\],:])|("(?:[^"\\\u0000-\u001f]|\\(?:["\\/bfnrt]|u[0-9a-fA-F]{4}))*")|(?:-?(?:0|[1-9]\d*)(?:\.\d+)?(?:[eE][+-]?\d+)?|true|false|null)/y

const WHITE_SPACE = /[ \t\r\n]*/y

/** What the syntax allows next. */
type Expected = 'value' | 'first-item' | 'first-key' | 'key' | 'colon' | 'separator' | 'end'

/**
 * Returns the position of the first character at which a text stops being JSON, from 0; the length of the text if it ends too early. Undefined if it
 * is valid. The messages of JSON.parse name no position for some errors.
 */
export function findSyntaxError (text: string): number | undefined {
  const open: string[] = []
  let expected: Expected = 'value'
  let position = skipWhiteSpace(text, 0)
  while (position < text.length) {
    TOKEN.lastIndex = position
    const match = TOKEN.exec(text)
    const next: Expected | undefined = match === null ? undefined : nextExpected(expected, match, open)
    if (match === null || next === undefined) return position
    expected = next
    position = skipWhiteSpace(text, position + match[0].length)
  }
  return expected === 'end' ? undefined : text.length
}

/** Returns what may follow a token, and keeps the list of open brackets; undefined if the token is not allowed. */
function nextExpected (expected: Expected, [token, punctuation, string]: RegExpExecArray, open: string[]): Expected | undefined {
  const afterValue = (): Expected => open.length === 0 ? 'end' : 'separator'
  const close = (bracket: string): Expected | undefined => open.pop() === bracket ? afterValue() : undefined
  if ((expected === 'first-item' || expected === 'separator') && token === ']') return close('[')
  if ((expected === 'first-key' || expected === 'separator') && token === '}') return close('{')
  if (expected === 'separator') return token !== ',' ? undefined : open.at(-1) === '{' ? 'key' : 'value'
  if (expected === 'colon') return token === ':' ? 'value' : undefined
  if (expected === 'first-key' || expected === 'key') return string === undefined ? undefined : 'colon'
  if (expected === 'end') return undefined
  if (punctuation === undefined) return afterValue()
  if (token !== '{' && token !== '[') return undefined
  open.push(token)
  return token === '{' ? 'first-key' : 'first-item'
}

function skipWhiteSpace (text: string, position: number): number {
  WHITE_SPACE.lastIndex = position
  return position + (WHITE_SPACE.exec(text)?.[0].length ?? 0)
}

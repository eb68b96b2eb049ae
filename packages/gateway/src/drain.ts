import type * as http from 'node:http'

/** Resolves when the response accepts more data or its connection has closed. */
export function waitForDrain (response: http.ServerResponse): Promise<void> {
  return new Promise((resolve) => {
    const done = (): void => {
      response.off('drain', done)
      response.off('close', done)
      resolve()
    }
    response.on('drain', done)
    response.on('close', done)
  })
}

/** HTTP client that tells complete answers from broken ones. */
import { request } from 'node:http'

/** Sends a request on a new connection; status 0 means that no answer came. */
export async function call (url, { method = 'POST', headers = {}, body, timeoutMilliseconds = 10_000 } = {}) {
  const sentAt = Date.now()
  return await new Promise(resolve => {
    let answer = { status: 0, headers: {}, body: '', isComplete: false, error: '' }
    const settle = () => {
      clearTimeout(timer)
      resolve({ ...answer, took: Date.now() - sentAt })
    }
    const outgoing = request(url, { method, agent: false, headers: { host: 'host.example', ...headers } }, incoming => {
      answer = { ...answer, status: incoming.statusCode, headers: incoming.headers }
      incoming.setEncoding('utf8')
      incoming.on('data', chunk => { answer.body += chunk })
      incoming.on('error', error => { answer.error = error.message })
      incoming.on('close', () => {
        answer.isComplete = incoming.complete && answer.error === ''
        settle()
      })
    })
    let isEndKnown = false
    outgoing.on('response', incoming => { incoming.on('end', () => { isEndKnown = true }) })
    outgoing.once('socket', socket => {
      socket.prependListener('end', () => {
        if (!isEndKnown) {
          // Node.js takes a reset for an orderly end if data before it is still unread; a write then shows the reset.
          socket.write('', error => {
            if (error instanceof Error) {
              answer.error = error.message
            }
          })
        }
      })
    })
    outgoing.on('error', error => {
      answer.error = error.message
      if (answer.status === 0) {
        settle()
      }
    })
    const timer = setTimeout(() => { outgoing.destroy(new Error('the client gave up')) }, timeoutMilliseconds)
    outgoing.end(body)
  })
}

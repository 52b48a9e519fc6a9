import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { batchRoute, configuration, Fleet, runCase, sleep } from './fleet.mjs'
import { Target } from './target.mjs'

const directory = dirname(fileURLToPath(import.meta.url))
/** Answers of 500 that the rule allows: three times the route's `max_attempts`. */
const allowed = 3 * batchRoute.max_attempts
/** Length of the page that a replica sends with its 500, in bytes: a trace of calls and the state of the request. */
const errorBytes = 24_000
const failing = 'item-3'
/** One of 24 items fails, which is less than the site's share of 0.05. */
const itemCount = 24

await runCase(directory, async (record, isTroubled) => {
  const failures = []
  const targets = []
  for (let number = 1; number <= 4; number += 1) {
    const target = await Target.start(record, { id: `replica-${number}`, zone: number % 2 === 0 ? 'b' : 'a', events: 20, gap: 10 })
    target.run = async (arrival, response) => {
      if (!isTroubled || arrival.id !== failing) {
        await target.stream(arrival, response)
        return
      }
      await sleep(20)
      failures.push({ at: Date.now(), target: target.id })
      record.write(`${target.id} answers ${arrival.id} with 500 and ${errorBytes} bytes, the ${failures.length}. time`)
      arrival.isComplete = true
      response.writeHead(500, { 'content-type': 'text/plain', 'content-length': errorBytes, 'x-server-signature': `s.${target.id}` })
      response.end(Buffer.alloc(errorBytes, 'the request failed at step 7\n'))
    }
    targets.push(target)
  }
  const fleet = await Fleet.start(record, { instances: 3, document: configuration(1, [batchRoute]), targets })
  try {
    await sleep(4_000)
    const job = '7c41e09b52d6a3f8'
    const items = Array.from({ length: itemCount }, (_, index) => index + 1).map(number => ({ id: `item-${number}`, path: `/batch/x/${number}`, headers: { 'X-Model': 'm', 'X-Token-Counts': '350,231', 'X-Prompt-Prefix': `5c1e07a2:100,${number}:250` }, body: Buffer.from(`prompt ${number}`).toString('base64'), tokens: 581 }))
    const { status } = await fleet.call(1, { method: 'POST', path: '/batch/x', headers: { 'x-request-id': job, 'content-type': 'application/json' }, body: JSON.stringify({ items }) })
    record.write(`the job is answered with ${status}`)
    if (status !== 202) {
      throw new Error('the job was not accepted')
    }
    await sleep(20_000)
    const { body } = await fleet.call(2, { path: `/lots/${job}?after=0` })
    const { results } = JSON.parse(body)
    record.write(`results after 20 s: ${results.map(({ id, state }) => `${id} ${state}`).join(', ')}`)
    record.write(`${failures.length} answers of 500 to ${failing}; ${allowed} are allowed`)
    return failures.length > allowed ? [`${failing} reached replicas ${failures.length} times and was answered with 500 each time; ${allowed} are allowed`] : []
  } finally {
    await fleet.close()
  }
})

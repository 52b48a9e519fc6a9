/** A process is killed while it passes on streams that have neither a length nor chunks and end with their connection. */
import { call } from '../common/client.mjs'
import { bounds, runCase, sleep, streamRoute } from '../common/fleet.mjs'
import { Target } from '../common/target.mjs'

const events = 34
const gapMilliseconds = 25
const requestsPerSecond = 20
const killed = 0

/** With TROUBLE=0 everything is done but the disruption. */
const hasTrouble = process.env.TROUBLE !== '0'

await runCase(new URL('./', import.meta.url), 3, hasTrouble, async ({ fleet, record, closers }) => {
  const targets = await Promise.all(['replica-1', 'replica-2', 'replica-3', 'replica-4'].map(id => new Target(id, { events, gapMilliseconds, record, isFramed: false }).start()))
  closers.push(...targets.map(target => () => target.close()))
  await fleet.start([streamRoute('confirm-note', '/confirm/', { resumable: false, attempts: 1 })], targets)
  await sleep(bounds.contactMilliseconds)

  const broken = []
  const send = async number => {
    const id = `request-${number}`
    const index = number % fleet.addresses.length
    record.line(`client: sends ${id} to process ${index + 1}`)
    const answer = await call(fleet.url(index, '/confirm/x'), {
      headers: { 'X-Request-Id': id, 'X-Deadline-Milliseconds': '5000', 'X-Model': 'm', 'X-Token-Counts': '450,170', 'X-Prompt-Prefix': `aa:200,${number}:250` },
      body: 'a booking',
      timeoutMilliseconds: 5_000
    })
    const pieces = answer.body.split('\n\n').length - 1
    record.line(`client: ${id} has status ${answer.status}, ${pieces} of ${events} events, ${answer.isComplete ? 'ended in order' : `broken off (${answer.error})`}, after ${answer.took} ms`)
    if (answer.status === 200 && answer.isComplete && pieces < events) {
      broken.push(`MIXED: ${id} ended in order, as an answer without framing does when it is complete, with ${pieces} of ${events} events`)
    }
  }
  const calls = []
  for (let number = 1; number <= requestsPerSecond * 3; number += 1) {
    if (number === requestsPerSecond * 2 && hasTrouble) {
      fleet.signal(killed, 'SIGKILL')
    }
    calls.push(send(number))
    await sleep(1_000 / requestsPerSecond)
  }
  await Promise.all(calls)
  return broken
})

/** A process gets SIGTERM; clients whose address answer has not expired send it streams, which last some seconds. */
import { call } from '../common/client.mjs'
import { bounds, runCase, sleep, streamRoute } from '../common/fleet.mjs'
import { Target } from '../common/target.mjs'

const events = 34
const gapMilliseconds = 100
/** Times after SIGTERM at which requests are sent: less than three times the `ttl_s` of 2 s after the address answer, and later than 3 s. */
const sendTimes = [3_500, 4_000, 4_500, 5_000, 5_300, 5_600]
const clientBudget = 5_000

/** With TROUBLE=0 everything is done but the disruption. */
const hasTrouble = process.env.TROUBLE !== '0'

await runCase(new URL('./', import.meta.url), 3, hasTrouble, async ({ fleet, record, closers }) => {
  const targets = await Promise.all(['replica-1', 'replica-2', 'replica-3'].map(id => new Target(id, { events, gapMilliseconds, record }).start()))
  closers.push(...targets.map(target => () => target.close()))
  await fleet.start([streamRoute('confirm-note', '/confirm/', { resumable: false, attempts: 1 })], targets)
  await sleep(bounds.contactMilliseconds + 500)
  const [leaving] = fleet.addresses.keys()
  const addresses = await fleet.resolve(leaving)
  record.line(`clients: have resolved ${addresses.join(' ')}, and keep that for up to 6 s`)
  if (!addresses.some(address => fleet.url(leaving, '').endsWith(address))) {
    throw new Error('the clients were not told of the process')
  }
  const startedAt = Date.now()
  if (hasTrouble) {
    fleet.signal(leaving, 'SIGTERM')
  }
  const broken = []
  await Promise.all(sendTimes.map(async time => {
    await sleep(startedAt + time - Date.now())
    const id = `request-${time}`
    const sentAt = Date.now()
    record.line(`client: sends ${id}, ${sentAt - startedAt} ms after the signal`)
    const answer = await call(fleet.url(leaving, '/confirm/x'), {
      headers: { 'X-Request-Id': id, 'X-Deadline-Milliseconds': String(clientBudget), 'X-Model': 'm', 'X-Token-Counts': '450,170', 'X-Prompt-Prefix': `aa:200,${time}:250` },
      body: 'a booking',
      timeoutMilliseconds: clientBudget
    })
    const pieces = answer.body.split('\n').filter(line => line.startsWith('data:')).length
    record.line(`client: ${id} has status ${answer.status}, ${pieces} of ${events} events, ${answer.isComplete ? 'complete' : `incomplete (${answer.error})`}, after ${answer.took} ms`)
    const run = targets.flatMap(target => target.runs).find(candidate => candidate.id === id)
    if (run !== undefined && !answer.isComplete && answer.took < clientBudget * 0.7) {
      broken.push(`LOST: ${id}, sent ${sentAt - startedAt} ms after SIGTERM and passed on to a replica, ended after ${answer.took} ms with ${pieces} of ${events} events`)
    }
  }))
  return broken
})

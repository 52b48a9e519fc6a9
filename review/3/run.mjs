/** A process freezes; meanwhile a configuration adds a batch route, and jobs come on it; then the process wakes. */
import { batchRoute, bounds, runCase, sleep, streamRoute } from '../common/fleet.mjs'
import { call } from '../common/client.mjs'
import { Target } from '../common/target.mjs'

const events = 231
const gapMilliseconds = 25
const jobs = 48
const itemsOfJob = 1
/** The disruption as the site file has it: `node_freeze`, one machine, 4.0 s. */
const freezeMilliseconds = 3_900
const configurationAt = 1_700
const jobsAt = 2_100

/** With TROUBLE=0 everything is done but the disruption. */
const hasTrouble = process.env.TROUBLE !== '0'

await runCase(new URL('./', import.meta.url), 3, hasTrouble, async ({ fleet, record, closers }) => {
  const targets = await Promise.all(['replica-1', 'replica-2', 'replica-3', 'replica-4'].map(id => new Target(id, { events, gapMilliseconds, record, slots: 8 }).start()))
  closers.push(...targets.map(target => () => target.close()))
  const routes = [streamRoute('confirm-note', '/confirm/', { resumable: false, attempts: 1 }), batchRoute('lookbook-batch', '/lookbook/')]
  await fleet.start(routes, targets)
  await sleep(bounds.contactMilliseconds + Math.random() * 1_000)

  const frozen = 0
  await Promise.all(Array.from({ length: 48 }, (_, number) => call(fleet.url(number % 3, '/lookbook/'), {
    headers: { 'X-Request-Id': `earlier-${number}`, 'Content-Type': 'application/json' },
    body: JSON.stringify({ items: [{ id: `earlier-${number}-item`, path: '/lookbook/1/2', headers: { 'X-Model': 'm', 'X-Token-Counts': '350,1155', 'X-Prompt-Prefix': `bb:100,e${number}:250` }, body: 'q83v', tokens: 1_505 }] })
  })))
  await sleep(1_000)
  const others = [1, 2]
  const startedAt = Date.now()
  const freeze = hasTrouble ? fleet.freeze(frozen, freezeMilliseconds) : sleep(freezeMilliseconds)
  await sleep(startedAt + configurationAt - Date.now())
  fleet.configure(2, [...routes, batchRoute('added-batch', '/added/')])
  await sleep(startedAt + jobsAt - Date.now())
  const accepted = new Map()
  const submit = async number => {
    const job = `job-${number}-${Date.now().toString(36)}`
    const items = Array.from({ length: itemsOfJob }, (_, index) => ({
      id: `${job}-item-${index}`,
      path: '/added/1/2',
      headers: { 'X-Model': 'm', 'X-Token-Counts': '350,1155', 'X-Prompt-Prefix': `bb:100,${number}${index}:250` },
      body: Buffer.from('a look').toString('base64'),
      tokens: 1_505
    }))
    for (let attempt = 0; attempt < 6; attempt += 1) {
      const answer = await call(fleet.url(others[(number + attempt) % others.length], '/added/'), { headers: { 'X-Request-Id': job, 'Content-Type': 'application/json' }, body: JSON.stringify({ items }), timeoutMilliseconds: 4_000 })
      record.line(`client: ${job} has status ${answer.status} after ${answer.took} ms`)
      if (answer.status === 202) {
        accepted.set(job, Date.now())
        return
      }
      await sleep(200)
    }
  }
  await Promise.all(Array.from({ length: jobs }, (_, number) => submit(number)))
  await freeze
  const results = new Map()
  const read = async job => {
    const deadline = Date.now() + 35_000
    const found = []
    while (found.length < itemsOfJob && Date.now() < deadline) {
      const answer = await call(fleet.url(others[found.length % others.length], `/lots/${job}?after=${found.length}`), { method: 'GET', timeoutMilliseconds: 2_500 })
      if (answer.status === 200) {
        found.push(...JSON.parse(answer.body).results)
      }
      await sleep(500)
    }
    results.set(job, found)
  }
  await Promise.all([...accepted.keys()].map(read))
  const broken = []
  for (const [job, found] of results) {
    for (const { id, state, text } of found) {
      record.line(`client: the result of ${id} is ${state} with ${text.length} characters`)
      if (state === 'dead_lettered') {
        broken.push(`MIXED: ${id} is dead_lettered, though no replica answered 422 or 500, its retention of 60 s is not over, and its route and job have not ended`)
      }
    }
    if (found.length < itemsOfJob) {
      record.line(`client: ${job} has ${found.length} of ${itemsOfJob} results`)
    }
  }
  record.line(`${accepted.size} jobs accepted`)
  return broken
})

import { randomBytes } from 'node:crypto'
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { batchRoute, configuration, Fleet, runCase, sleep, streamRoute } from './fleet.mjs'
import { StoreProxy } from './store-proxy.mjs'
import { Target } from './target.mjs'

const directory = dirname(fileURLToPath(import.meta.url))
/** The bound `rollback_slack_ms` of the site. */
const slack = 250
/** Length of a cut between one process and the store; the bound of the site is 5.5 s. */
const cut = 4_000
const rounds = 5
/** The process that is cut off from the store, and the one that clients ask. */
const cutOff = 2
const asked = 1

await runCase(directory, async (record, isTroubled) => {
  const targets = []
  for (let number = 1; number <= 4; number += 1) {
    targets.push(await Target.start(record, { id: `replica-${number}`, zone: number % 2 === 0 ? 'b' : 'a', events: 5, gap: 5 }))
  }
  const routes = version => [
    streamRoute,
    batchRoute,
    ...Array.from({ length: version - 1 }, (_, index) => [
      { ...streamRoute, name: `stream-${index + 2}`, prefix: `/stream-${index + 2}/` },
      { ...batchRoute, name: `batch-${index + 2}`, prefix: `/batch-${index + 2}/` }
    ]).flat()
  ]
  let proxy = null
  const fleet = await Fleet.start(record, {
    instances: 3,
    document: configuration(1, routes(1)),
    targets,
    prepare: async store => { proxy = await StoreProxy.start(store.addresses[0]) },
    storeAddressOf: number => number === cutOff ? proxy.address : null
  })
  const broken = []
  const send = async (path, body, headers = {}) => {
    const id = randomBytes(8).toString('hex')
    record.write(`client sends ${id} ${path} to i-${asked}`)
    const status = await fleet.call(asked, { method: 'POST', path, headers: { 'x-request-id': id, 'x-deadline-milliseconds': '5000', ...headers }, body }).then(answer => answer.status, error => error.message)
    record.write(`client gets ${status} for ${id}`)
    return { id, status }
  }
  const sendJob = async version => {
    const items = [{ id: randomBytes(8).toString('hex'), path: `/batch-${version}/1`, headers: { 'X-Model': 'm' }, body: 'cHJvbXB0', tokens: 10 }]
    const sentAt = Date.now()
    return { ...await send(`/batch-${version}/x`, JSON.stringify({ items }), { 'content-type': 'application/json' }), sentAt }
  }
  const playRound = async version => {
    if (isTroubled) {
      record.write(`i-${cutOff} is cut off from the store`)
      proxy.setCut(true)
    }
    const healing = sleep(cut).then(() => {
      proxy.setCut(false)
      record.write('the cut has ended, if there was one')
    })
    await sleep(200)
    fleet.store.put('keyed.op', 'config', configuration(version, routes(version)))
    record.write(`the store acknowledges version ${version}, which adds /stream-${version}/ and /batch-${version}/`)
    let seen = null
    while (seen === null) {
      const { id, status } = await send(`/stream-${version}/x`, 'prompt')
      seen = status === 200 ? targets.flatMap(({ arrivals }) => arrivals).find(arrival => arrival.id === id).startedAt : null
    }
    record.write(`a replica has seen version ${version} through i-${asked}`)
    await sleep(Math.max(0, seen + slack + 20 - Date.now()))
    const jobs = []
    while (Date.now() < seen + 2_000) {
      jobs.push(sendJob(version))
      await sleep(40)
    }
    for (const { id, status, sentAt } of await Promise.all(jobs)) {
      if (status === 404 && sentAt > seen + slack) {
        broken.push(`job ${id} on a route of version ${version} is answered 404 by i-${asked}, ${sentAt - seen} ms after a replica saw that version through it`)
      }
    }
    await healing
    await sleep(4_000)
  }
  try {
    await sleep(4_000)
    for (let version = 2; version < 2 + rounds; version += 1) {
      await playRound(version)
    }
    record.write(`${broken.length} jobs were answered with 404`)
    return broken
  } finally {
    await fleet.close()
    await proxy.close()
  }
})

/** Replicas send a late second copy of a rejection where the response to the next request on the connection is expected. */
import { call } from '../common/client.mjs'
import { bounds, runCase, sleep, streamRoute } from '../common/fleet.mjs'
import { Target } from '../common/target.mjs'

const events = 34
const gapMilliseconds = 12
const requestsPerSecond = 40
/** The disruption as the site file has it: `garble`, `how = "extra late"`. */
const disruption = { share: 0.6, x: 0.03, milliseconds: 4_900 }
/** Memory of a replica, as in the sheet. */
const memoryTokens = 72_000
/** One request of so many is larger than that, with and without the disruption; each replica rejects it. */
const requestsPerLargeOne = 20

/** With TROUBLE=0 everything is done but the disruption. */
const hasTrouble = process.env.TROUBLE !== '0'

await runCase(new URL('./', import.meta.url), 2, hasTrouble, async ({ fleet, record, closers }) => {
  let isDisrupted = false
  let responses = 0
  let extras = 0
  /** Responses of the faulty replicas since the disruption began. */
  let responsesOfFaulty = 0
  const answersOtherwise = ({ id, request, response, target }) => {
    const { socket } = request
    responses += 1
    responsesOfFaulty += isDisrupted && target.isFaulty ? 1 : 0
    if (isDisrupted && target.isFaulty && socket.rejection !== undefined && extras + 1 <= responsesOfFaulty * disruption.x) {
      extras += 1
      record.line(`${target.id}: sends the rejection of ${socket.rejectedId} once more, where the response to ${id} is due`)
      socket.write(socket.rejection)
    }
    socket.rejection = undefined
    const tokens = String(request.headers['x-token-counts']).split(',').reduce((sum, count) => sum + Number(count), 0)
    if (tokens <= memoryTokens) {
      return false
    }
    const headers = { ...target.headers(id), 'X-Not-Executed': '1', 'Content-Length': '0' }
    record.line(`${target.id}: rejects ${id}, which has ${tokens} tokens, with 503`)
    socket.rejectedId = id
    socket.rejection = ['HTTP/1.1 503 Service Unavailable', ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`), '', ''].join('\r\n')
    response.writeHead(503, headers).end()
    return true
  }
  const targets = await Promise.all(['replica-1', 'replica-2', 'replica-3', 'replica-4'].map(id => new Target(id, { events, gapMilliseconds, record, answersOtherwise }).start()))
  targets.slice(0, Math.floor(targets.length * disruption.share)).forEach(target => { target.isFaulty = true })
  closers.push(...targets.map(target => () => target.close()))
  await fleet.start([streamRoute('confirm-note', '/confirm/', { resumable: false, attempts: 1 })], targets)
  await sleep(bounds.contactMilliseconds)

  const answers = new Map()
  const calls = []
  const send = number => {
    const id = `request-${number}`
    const isLarge = number % requestsPerLargeOne === 0
    record.line(`client: sends ${id}`)
    return call(fleet.url(number % 2, '/confirm/x'), {
      headers: { 'X-Request-Id': id, 'X-Deadline-Milliseconds': '5000', 'X-Model': 'm', 'X-Token-Counts': isLarge ? '80000,170' : '450,170', 'X-Prompt-Prefix': `aa:200,${number}:${isLarge ? 79_800 : 250}` },
      body: 'a booking',
      timeoutMilliseconds: 5_000
    }).then(answer => {
      answers.set(id, answer)
      record.line(`client: ${id} has status ${answer.status}, ${answer.isComplete ? 'complete' : 'incomplete'}, after ${answer.took} ms`)
    })
  }
  const startedAt = Date.now()
  const length = disruption.milliseconds + 2_000
  for (let number = 1; Date.now() - startedAt < length; number += 1) {
    const isDue = Date.now() - startedAt >= 1_000 && Date.now() - startedAt < 1_000 + disruption.milliseconds
    if (hasTrouble && isDue !== isDisrupted) {
      isDisrupted = isDue
      record.line(isDisrupted ? 'extra responses begin' : `extra responses end; there were ${extras}`)
    }
    calls.push(send(number))
    await sleep(1_000 / requestsPerSecond)
  }
  await Promise.all(calls)

  const broken = []
  const runs = groupById(targets)
  for (const [id, ran] of runs) {
    if (ran.length > 1) {
      broken.push(`TWICE: ${id}, which must not run twice, was run by ${ran.map(({ target }) => target).join(' and ')}`)
    }
    const status = answers.get(id)?.status
    if ([408, 421, 429, 503].includes(status)) {
      broken.push(`REFUSED: ${id} was answered ${status} and was run by ${ran.map(({ target }) => target).join(' and ')}`)
    }
  }
  record.line(`${answers.size} requests, ${responses} responses of replicas, ${responsesOfFaulty} of the faulty ones during the disruption, ${extras} extra ones`)
  return broken
})

function groupById (targets) {
  const groups = new Map()
  for (const target of targets) {
    for (const run of target.runs) {
      groups.set(run.id, [...groups.get(run.id) ?? [], { ...run, target: target.id }])
    }
  }
  return groups
}

/** Tests what `arbutus explain` tells of requests and items, from log files. */
import assert from 'node:assert/strict'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { PassThrough } from 'node:stream'
import { after, before, describe, it } from 'node:test'
import { Cli } from 'clipanion'
import { ExplainCommand } from '../../src/commands/explain-command.js'

function line (time: number, instance: string, message: string, fields: Readonly<Record<string, unknown>>): string {
  return JSON.stringify({ time: new Date(time).toISOString(), level: 'info', instance, message, ...fields })
}

const call = { route: 'r', target: 't1', reason: '', waited: 2, first: 30, late: false, took: 700, status: 200 }
const refusal = { route: 'r', waited: 1, retryAfter: 900 }

const firstInstance = [
  'not a line of a log',
  line(1, 'one', 'dispatch ended', { ...call, request: 'served', end: 'complete' }),
  line(2, 'one', 'dispatch ended', { ...call, request: 'slow', end: 'complete', waited: 310, first: 340, late: true }),
  line(3, 'one', 'dispatch ended', { ...call, request: 'moved', end: 'broken', reason: 'target silent', status: null }),
  line(4, 'one', 'dispatch ended', { ...call, request: 'moved', target: 't2', end: 'complete', waited: 702, first: 730, late: true }),
  line(5, 'one', 'refused', { ...refusal, request: 'refused', refusals: 0 }),
  line(6, 'one', 'dispatch ended', { ...call, request: 'broken', end: 'broken', reason: 'read ECONNRESET' }),
  line(6, 'one', 'dispatch ended', { ...call, request: 'lost', end: 'disconnected', reason: 'connection closed before the end of the response' }),
  line(7, 'one', 'dispatch ended', { ...call, request: 'empty', after: 34, end: 'end-unknown', reason: 'the stream ended before its first event' }),
  line(8, 'one', 'dispatch ended', { ...call, request: 'open', end: 'end-unknown' }),
  line(1, 'one', 'dispatch ended', { ...call, request: 'confirmed', end: 'end-unknown' }),
  line(2, 'one', 'dispatch ended', { ...call, request: 'confirmed', after: 34, end: 'complete' }),
  line(1, 'one', 'dispatch ended', { ...call, request: 'unconfirmed', end: 'end-unknown' }),
  line(2, 'one', 'dispatch ended', { ...call, request: 'unconfirmed', after: 34, end: 'unreachable', status: null }),
  line(3, 'one', 'end of stream not confirmed', { request: 'unconfirmed', route: 'r', after: 34 }),
  line(7, 'one', 'item run ended', { job: 'j', item: 'i', target: 't1', end: 'broken', reason: 'slot revoked', status: 200, events: 4, took: 300 }),
  '{"time":"half of a line'
]
const secondInstance = [
  // The item goes on at another instance, whose log is read first.
  line(9, 'two', 'item run ended', { job: 'j', item: 'i', target: 't2', end: 'complete', reason: '', status: 200, events: 9, took: 500 })
]

describe('arbutus explain', () => {
  let folder = ''

  before(async () => {
    folder = await mkdtemp(join(tmpdir(), 'arbutus-explain-'))
    await writeFile(join(folder, 'a.log'), secondInstance.join('\n'))
    await writeFile(join(folder, 'b.log'), firstInstance.join('\n'))
  })

  after(async () => { await rm(folder, { recursive: true }) })

  async function run (...args: readonly string[]): Promise<{ readonly code: number, readonly output: string, readonly errors: string }> {
    const cli = new Cli({ binaryName: 'arbutus' })
    cli.register(ExplainCommand)
    const [stdout, stderr] = [new PassThrough(), new PassThrough()]
    const texts = [stdout, stderr].map(stream => {
      const chunks: Buffer[] = []
      stream.on('data', chunk => { chunks.push(chunk as Buffer) })
      return chunks
    })
    const code = await cli.run(['explain', ...args], { stdin: process.stdin, stdout, stderr })
    const [output = '', errors = ''] = texts.map(chunks => Buffer.concat(chunks).toString())
    return { code, output, errors }
  }

  it('counts how requests and items ended', async () => {
    const { code, output } = await run(folder, '--json')
    assert.equal(code, 0)
    const classes = JSON.parse(output) as ReadonlyArray<{ readonly class: string, readonly count: number, readonly examples: readonly string[] }>
    assert.deepEqual(Object.fromEntries(classes.map(entry => [entry.class, entry.examples])), {
      'late after a failed attempt': ['moved'],
      'late, waited for a slot': ['slow'],
      served: ['served', 'open', 'confirmed'],
      'served, end not confirmed': ['unconfirmed'],
      'refused, all slots taken': ['refused'],
      'broken off by its target': ['broken', 'lost', 'empty'],
      'item finished after losing its slot': ['j/i']
    })
  })

  it('prints all lines about one request in order of time, and what they mean', async () => {
    const { output } = await run(folder, '--id', 'moved')
    const lines = output.trim().split('\n')
    assert.equal(lines.length, 4)
    assert.match(lines[1] ?? '', /one +dispatch ended +route=r target=t1 .*reason=target silent/)
    assert.match(lines[3] ?? '', /^moved: late after a failed attempt/)
  })

  it('follows an item from instance to instance', async () => {
    const { output } = await run(folder, '--id', 'i')
    assert.match(output, /one +item run ended[^\n]*\n[^\n]*two +item run ended/)
  })

  it('says what an id must be if no line is about it, and which path cannot be read', async () => {
    const unknown = await run(folder, '--id', 'nothing')
    assert.equal(unknown.code, 1)
    assert.match(unknown.errors, /no line about "nothing" in .*expected the id of a request, job or item/)
    const missing = await run(join(folder, 'missing'))
    assert.equal(missing.code, 1)
    assert.match(missing.errors, /cannot read .*missing/)
  })
})

import assert from 'node:assert/strict'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { PassThrough } from 'node:stream'
import { after, before, describe, it } from 'node:test'
import { commands } from '@arbutusloft/command-line'
import { sample, startEmbeddedSystem } from '@arbutusloft/development'
import type { EmbeddedSystem } from '@arbutusloft/development'
import { Cli } from 'clipanion'
import { createChatLines, createItemNames } from './harness/batch-input.js'

/** Exit code and output of a command. */
interface CommandResult {
  readonly code: number
  readonly output: string
  readonly errors: string
}

void describe('the command line', () => {
  let system: EmbeddedSystem
  let directory: string

  before(async () => {
    system = await startEmbeddedSystem()
    directory = await mkdtemp(join(tmpdir(), 'arbutus-command-'))
  })

  after(async () => {
    await system.close()
    await rm(directory, { recursive: true })
  })

  async function run (...commandArguments: readonly string[]): Promise<CommandResult> {
    const cli = new Cli()
    commands.forEach(command => { cli.register(command) })
    const stdout = new PassThrough()
    const stderr = new PassThrough()
    const env = {
      ARBUTUS_ADDRESS: system.callerAddress,
      ARBUTUS_KEY: sample.stylist.key,
      ARBUTUS_OPERATOR_ADDRESS: system.operatorAddress,
      ARBUTUS_OPERATOR_KEY: sample.operator.key
    }
    const code = await cli.run([...commandArguments], { stdout, stderr, env })
    return { code, output: String(stdout.read() ?? ''), errors: String(stderr.read() ?? '') }
  }

  async function writeInput (name: string, text: string): Promise<string> {
    const path = join(directory, name)
    await writeFile(path, text)
    return path
  }

  void it('gets, compares and publishes a list, and rejects a stale file', async () => {
    const got = await run('usage', 'get')
    const edited = got.output.replace('context-tokens = 8192', 'context-tokens = 4096')
    const path = await writeInput('usage.ini', edited)
    assert.match((await run('usage', 'diff', path)).output, /-context-tokens = 8192\n\+context-tokens = 4096/)
    assert.equal((await run('usage', 'publish', path)).code, 0)
    assert.match((await run('usage', 'publish', path)).output, /nothing to change/)
    const stale = await run('usage', 'publish', await writeInput('stale.ini', got.output.replace('8192', '2048')))
    assert.equal(stale.code, 3)
    assert.match(stale.errors, /\[model stylist-small\] changed since the file was got/)
    assert.match((await run('audit')).output, /model stylist-small/)
  })

  void it('names the line of an error in a list', async () => {
    const rejected = await run('plans', 'publish', await writeInput('plans.ini', '[client c]\nplan = nobody\nkey-hashes = x\n'))
    assert.equal(rejected.code, 3)
    assert.match(rejected.errors, /line 3: \[client c\]/)
  })

  void it('submits a batch, waits for it, and prints its results, the charges and the targets', async () => {
    const path = await writeInput('in.jsonl', createChatLines(createItemNames('cake', 3)).join('\n'))
    const submitted = await run('jobs', 'submit', path, '--wait', '--json')
    assert.equal(submitted.code, 0)
    const { id } = JSON.parse(submitted.output) as { readonly id: string }
    assert.equal((await run('jobs', 'results', id)).output.trim().split('\n').length, 3)
    assert.match((await run('jobs', 'list')).output, new RegExp(`${id} +completed +3/3`))
    assert.match((await run('charges', '--client', sample.stylist.client)).output, /stylist-small/)
    assert.match((await run('targets')).output, /target-1/)
  })

  void it('exits with 3 if the server rejects the request and with 4 if it is unreachable, and prints the hash of a key', async () => {
    assert.equal((await run('targets', '--address', '127.0.0.1:1')).code, 4)
    assert.equal((await run('jobs', 'watch', 'batch_00')).code, 3)
    assert.equal((await run('targets', '--key', 'wrong')).code, 3)
    const hashed = await run('keys', 'hash', 'secret')
    assert.match(hashed.output, /^sha256:[0-9a-f]{64}\n$/)
  })
})

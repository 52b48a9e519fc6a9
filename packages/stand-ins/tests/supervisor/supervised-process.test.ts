import { deepEqual, equal } from 'node:assert/strict'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { after, before, describe, it } from 'node:test'
import { isStartEndedError, SupervisedProcess } from '../../src/supervisor/supervised-process.js'

const startedLine = JSON.stringify({ message: 'started', addresses: { health: '127.0.0.1:1' } })

describe('SupervisedProcess', () => {
  let directory = ''

  before(async () => { directory = await mkdtemp(join(tmpdir(), 'arbutus-supervised-')) })
  after(async () => { await rm(directory, { recursive: true, force: true }) })

  async function supervise (text: string): Promise<SupervisedProcess> {
    const program = join(directory, 'program.mjs')
    await writeFile(program, text)
    return new SupervisedProcess('i1.scheduler', program, { arguments: ['settings.ini'], environment: { ARBUTUS_TEST: 'yes' } })
  }

  it('resolves with the addresses that the process logs at its start', async () => {
    const supervised = await supervise(`console.error(${JSON.stringify(startedLine)}); setInterval(() => {}, 1_000)`)
    deepEqual(await supervised.started(), { health: '127.0.0.1:1' })
    supervised.signal('SIGKILL')
    await supervised.exited
  })

  it('reads standard output and standard error, and passes arguments and environment variables', async () => {
    const supervised = await supervise(`console.log(process.argv[2] + process.env.ARBUTUS_TEST); console.error(${JSON.stringify(startedLine)}); setInterval(() => {}, 1_000)`)
    await supervised.started()
    while (supervised.logLines.length < 2) {
      await new Promise(resolve => { setTimeout(resolve, 1) })
    }
    deepEqual([...supervised.logLines].sort(), ['settings.iniyes', startedLine])
    supervised.signal('SIGKILL')
    await supervised.exited
  })

  it('reports the signal that terminated a process before it had started', async () => {
    const supervised = await supervise('setInterval(() => {}, 1_000)')
    const ended = supervised.started().catch((error: unknown) => error)
    supervised.signal('SIGKILL')
    const error = await ended
    equal(isStartEndedError(error), true)
    equal(isStartEndedError(error) && error.signal, 'SIGKILL')
  })

  it('reports no signal for a process that exited by itself before it had started', async () => {
    const supervised = await supervise('process.exit(3)')
    const error: unknown = await supervised.started().catch((cause: unknown) => cause)
    equal(isStartEndedError(error), true)
    equal(isStartEndedError(error) && error.signal, null)
  })
})

/** Guards against a longer start of a process by parts of libraries that are not used. */
import assert from 'node:assert/strict'
import { execFile } from 'node:child_process'
import { describe, it } from 'node:test'
import { promisify } from 'node:util'

const program = `
  await import(${JSON.stringify(new URL('../../src/index.js', import.meta.url).href)})
  process.stdout.write(JSON.stringify(process.moduleLoadList))
`

describe('the modules of the gateway', () => {
  it('load no built-in modules that only unused parts of libraries need', async () => {
    const { stdout } = await promisify(execFile)(process.execPath, ['--input-type=module', '--eval', program])
    const loaded = JSON.parse(stdout) as string[]
    assert.ok(loaded.includes('NativeModule http'))
    // Needed by prom-client's push gateway and default metrics, and by the search for an addon of msgpackr.
    assert.deepEqual(loaded.filter(name => ['NativeModule https', 'NativeModule v8', 'NativeModule child_process'].includes(name)), [])
  })
})

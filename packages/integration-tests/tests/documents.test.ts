import assert from 'node:assert/strict'
import { readFile } from 'node:fs/promises'
import { describe, it } from 'node:test'
import { fileURLToPath } from 'node:url'
import { settingsSchemas } from '@arbutusloft/configuration'

const root = new URL('../../../../', import.meta.url)

async function read (path: string): Promise<string> {
  return await readFile(fileURLToPath(new URL(path, root)), 'utf8')
}

void describe('the documents', () => {
  void it('describe every setting', async () => {
    const reference = await read('docs/configuration.md')
    for (const [section, schema] of Object.entries(settingsSchemas)) {
      for (const key of Object.keys(schema.shape)) {
        assert.ok(reference.includes(`\`${key}\``), `${section}.${key} is not in docs/configuration.md`)
      }
    }
  })

  void it('list exactly the metrics that the sources define', async () => {
    const sources = ['daemon/src/daemon.ts', 'daemon/src/links/link-meter.ts', 'entry/src/entry-metrics.ts', 'scheduler/src/scheduler-metrics.ts', 'batch/src/batch.ts']
    const texts = await Promise.all(sources.map(async source => await read(`packages/${source}`)))
    const metrics = (text: string): readonly string[] => [...new Set([...text.matchAll(/\barbutus_[a-z_]+/g)].map(match => match[0]))].sort()
    assert.deepEqual(metrics(await read('docs/operators/README.md')), metrics(texts.join('\n')))
  })

  void it('link to existing pages and name existing files', async () => {
    const pages = ['README.md', 'docs/developers.md', 'docs/architecture.md', 'docs/operators/README.md', 'docs/promises.md', 'docs/CAPACITY.md', 'docs/measurements.md']
    for (const page of pages) {
      const text = await read(page)
      const links = [...text.matchAll(/\]\(([^)#]+\.md)\)/g)].map(match => match[1] ?? '')
      for (const link of links) {
        await assert.doesNotReject(read(new URL(link, `file:///${page}`).pathname.slice(1)), `${page} links to ${link}`)
      }
    }
    const files = [...(await read('docs/promises.md')).matchAll(/`([a-z-]+\/src\/[a-z/-]+\.ts)`/g)].map(match => match[1] ?? '')
    assert.ok(files.length > 0)
    for (const file of files) {
      await assert.doesNotReject(read(`packages/${file}`), `docs/promises.md names ${file}`)
    }
  })
})

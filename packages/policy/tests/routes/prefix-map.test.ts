/** Tests that values are found by the prefixes of a path. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { PrefixMap } from '../../src/routes/prefix-map.js'

function mapOf (...prefixes: readonly string[]): PrefixMap<string> {
  const map = new PrefixMap<string>()
  prefixes.forEach(prefix => { map.set('h', prefix, `value of ${prefix}`) })
  return map
}

describe('PrefixMap', () => {
  it('finds the prefixes of a path, the longest first, whether they end with a slash or not', () => {
    const map = mapOf('/', '/a/b/', '/a/', '/a/bc', '/b/', '')
    assert.deepEqual([...map.matching('h', '/a/bc/d')].map(({ prefix }) => prefix), ['/a/bc', '/a/', '/', ''])
    assert.deepEqual([...map.matching('h', '/a')].map(({ prefix }) => prefix), ['/', ''])
    assert.deepEqual([...map.matching('other', '/a')], [])
  })

  it('finds what a scan of all prefixes finds', () => {
    const names = ['', '/', 'a', 'b', '/a', '/b', 'a/', 'b/', '/a/', '/a/b/', '/b/a', 'ab', '/ab/']
    const prefixes = names.flatMap(first => names.map(second => first + second))
    const map = mapOf(...prefixes)
    for (const path of prefixes) {
      const expected = [...new Set(prefixes)].filter(prefix => path.startsWith(prefix)).sort((left, right) => right.length - left.length)
      assert.deepEqual([...map.matching('h', path)].map(({ prefix }) => prefix), expected, path)
    }
  })

  it('keeps the newest value of a prefix, and none that was deleted', () => {
    const map = mapOf('/a/', '/a/b/')
    map.set('h', '/a/', 'newer')
    map.delete({ host: 'h', prefix: '/a/b/', value: '' })
    assert.deepEqual([...map.matching('h', '/a/b/c')], [{ host: 'h', prefix: '/a/', value: 'newer' }])
    assert.deepEqual([...map.all()], [{ host: 'h', prefix: '/a/', value: 'newer' }])
  })
})

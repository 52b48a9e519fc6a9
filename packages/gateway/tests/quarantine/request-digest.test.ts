/** Tests which requests count as the same. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { requestDigest } from '../../src/quarantine/request-digest.js'

const request = { host: 'h', method: 'POST', path: '/p/x?q=1', body: Buffer.from('body') }

describe('requestDigest', () => {
  it('is the same for the same host, method, path and body, and differs if one of them does', () => {
    const variants = [
      request,
      { ...request, host: 'i' },
      { ...request, method: 'PUT' },
      { ...request, path: '/p/x?q=2' },
      { ...request, body: Buffer.from('bodies') },
      { ...request, body: null }
    ]
    assert.equal(requestDigest({ ...request, body: Buffer.from('body') }), requestDigest(request))
    assert.equal(new Set(variants.map(requestDigest)).size, variants.length)
    assert.ok(variants.map(requestDigest).every(digest => /^[0-9a-f]{16}$/.test(digest)))
  })
})

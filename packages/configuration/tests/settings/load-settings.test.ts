import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { loadSettings } from '../../src/settings/load-settings.js'

const validSettings = `[instance]
id = i1
zone = a

[listen]
caller = 127.0.0.1:8080

[platform]
log = 10.0.0.1:9000
instance-list = 10.0.0.1:9001

[link]
secret = a-long-enough-secret

[limits]
request-bytes = 2048
`

function loadError (text: string): string {
  const loaded = loadSettings(text)
  assert.ok(loaded.err)
  return loaded.val.message
}

void describe('loadSettings', () => {
  void it('reads values and uses defaults for missing limits', () => {
    const settings = loadSettings(validSettings).unwrap()
    assert.equal(settings.limits.requestBytes, 2_048)
    assert.equal(settings.limits.itemAttempts, 4)
    assert.equal(settings.listen.operator, null)
  })

  void it('reports the line of an unknown key, an invalid value and an unknown section, and rejects a host name', () => {
    assert.match(loadError(validSettings.replace('zone = a', 'zone = a\nzoone = b')), /line 4: \[instance\] unknown key "zoone"/)
    assert.match(loadError(validSettings.replace('request-bytes = 2048', 'request-bytes = many')), /line 16: .*"many": expected a whole number/)
    assert.match(loadError(validSettings + '[lmits]\n'), /line 17: .*unknown section; expected instance/)
    assert.match(loadError(validSettings.replace('127.0.0.1:8080', 'localhost:8080')), /expected ip:port/)
  })

  void it('reports a missing key and a duplicate section', () => {
    assert.match(loadError(validSettings.replace('log = 10.0.0.1:9000\n', '')), /"log" is missing/)
    assert.match(loadError(validSettings + '[link]\nsecret = another-long-secret\n'), /line 17: \[link\] the section stands twice/)
  })
})

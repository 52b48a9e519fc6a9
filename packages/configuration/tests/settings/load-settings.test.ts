import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { loadSettings } from '../../src/settings/load-settings.js'

const valid = `[instance]
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

function refusal (text: string): string {
  const loaded = loadSettings(text)
  assert.ok(loaded.err)
  return loaded.val.message
}

void describe('loadSettings', () => {
  void it('reads values and fills in defaults', () => {
    const settings = loadSettings(valid).unwrap()
    assert.equal(settings.limits.requestBytes, 2_048)
    assert.equal(settings.limits.itemAttempts, 4)
    assert.equal(settings.listen.operator, null)
  })

  void it('names the line of an unknown key, a bad value and an unknown section', () => {
    assert.match(refusal(valid.replace('zone = a', 'zone = a\nzoone = b')), /line 4: \[instance\] unknown key "zoone"/)
    assert.match(refusal(valid.replace('request-bytes = 2048', 'request-bytes = many')), /line 16: .*"many": expected a whole number/)
    assert.match(refusal(valid + '[lmits]\n'), /line 17: .*unknown section; expected instance/)
    assert.match(refusal(valid.replace('127.0.0.1:8080', 'localhost:8080')), /expected ip:port/)
  })

  void it('names a missing key and a section that stands twice', () => {
    assert.match(refusal(valid.replace('log = 10.0.0.1:9000\n', '')), /"log" is missing/)
    assert.match(refusal(valid + '[link]\nsecret = another-long-secret\n'), /line 17: \[link\] the section stands twice/)
  })
})

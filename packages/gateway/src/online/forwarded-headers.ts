/** Removes hop-by-hop headers from messages that the gateway forwards. */

/** Hop-by-hop headers, in lower case: https://www.rfc-editor.org/rfc/rfc9110#section-7.6.1 */
const hopByHopHeaders: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect'
])

/** Returns the raw headers (names and values alternating) without hop-by-hop headers and without those in `excluded`, given in lower case. */
export function forwardedHeaders (raw: readonly string[], excluded: ReadonlySet<string>): string[] {
  const declaredHopByHop = headersNamedByConnection(raw)
  const kept: string[] = []
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const name = raw[index] ?? ''
    const lower = name.toLowerCase()
    if (!hopByHopHeaders.has(lower) && !excluded.has(lower) && !declaredHopByHop.has(lower)) {
      kept.push(name, raw[index + 1] ?? '')
    }
  }
  return kept
}

/** Returns the names, in lower case, that Connection headers declare as hop-by-hop. */
function headersNamedByConnection (raw: readonly string[]): ReadonlySet<string> {
  const names = new Set<string>()
  for (let index = 0; index + 1 < raw.length; index += 2) {
    if (raw[index]?.toLowerCase() === 'connection') {
      for (const name of (raw[index + 1] ?? '').split(',')) {
        names.add(name.trim().toLowerCase())
      }
    }
  }
  return names
}

/** Formatting of text tables. */

/** Renders a header and rows as text with aligned columns. */
export function renderTable (header: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
  const allRows = [header, ...rows]
  const widths = header.map((_, column) => Math.max(...allRows.map(row => (row[column] ?? '').length)))
  return allRows.map(row => row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join('  ').trimEnd()).join('\n')
}

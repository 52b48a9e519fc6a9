/** The entry process, which serves the HTTP API of callers and operators. */
export { startEntry } from './entry.js'
export type { Entry } from './entry.js'

/**
 * undici's pool without the rest of undici: its index loads fetch, WebSocket and caches, which
 * doubles the start of a process: https://github.com/nodejs/undici/blob/main/index.js
 */
/// <reference path="./undici-parts.d.ts" />
import Pool from 'undici/lib/dispatcher/pool.js'

export { Pool }

/**
 * Imports undici's Pool without its index, which loads fetch, WebSocket and caches as well and so doubles the startup
 * time of a process: https://github.com/nodejs/undici/blob/main/index.js
 */
/// <reference path="./undici-parts.d.ts" />
import Pool from 'undici/lib/dispatcher/pool.js'

export { Pool }

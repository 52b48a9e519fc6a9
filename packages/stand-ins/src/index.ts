/**
 * Stand-ins for the systems that arbutusloft depends on (log, instance list, weight store, engines, and plain
 * HTTP services that are not model engines), a TCP proxy that injects faults and a process supervisor. For tests and
 * development only.
 */
export * from './engine/answer-text.js'
export * from './engine/engine-options.js'
export * from './engine/engine-stand-in.js'
export * from './instances/instance-list-stand-in.js'
export * from './log/log-stand-in.js'
export * from './plain/plain-service-stand-in.js'
export * from './proxy/fault-proxy.js'
export * from './supervisor/process-usage.js'
export * from './supervisor/supervised-process.js'
export * from './weights/weight-store-stand-in.js'
export * from './util/random.js'
export * from './util/stand-in.js'

/** Stand-ins for what the platform gives, and a proxy that injects faults. For tests and development only. */
export * from './engine/engine-options.js'
export * from './engine/engine-stand-in.js'
export * from './instances/instance-list-stand-in.js'
export * from './log/log-stand-in.js'
export * from './plain/plain-service-stand-in.js'
export * from './proxy/fault-proxy.js'
export * from './weights/weight-store-stand-in.js'
export * from './util/stand-in.js'

/** The whole system in one process, with stand-ins for the platform. For development, the demonstration and benchmarks. */
export * from './embedded-system.js'
export * from './publish-lists.js'
export * from './sample-lists.js'
export * from './settings-text.js'

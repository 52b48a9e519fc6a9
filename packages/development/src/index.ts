/** Runs the complete system on one machine, in one process or as a cluster of processes, with stand-ins for the platform. */
export * from './cluster/cluster.js'
export * from './cluster/wait-until.js'
export * from './embedded-system.js'
export * from './publish-lists.js'
export * from './sample-lists.js'
export * from './format-settings.js'

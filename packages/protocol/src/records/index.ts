/** Records of the log streams. */
export * from './record-batch.js'
export * from './log-record.js'
export * from './record-type.js'
export * from './configuration-records.js'
export * from './job-records.js'
export * from './ledger-records.js'
export * from './chunk.js'

/** Values of the field `type` of records in the log. */
export const RecordType = {
  ConfigurationEdited: 'configuration-edited',
  FileCreated: 'file-created',
  FileDeleted: 'file-deleted',
  JobCreated: 'job-created',
  JobClaimed: 'job-claimed',
  JobCancelled: 'job-cancelled',
  ItemsIntended: 'items-intended',
  ItemsCompleted: 'items-completed',
  ChunkMoved: 'chunk-moved',
  OwnerHeartbeat: 'owner-heartbeat',
  Charged: 'charged',
  CallIntended: 'call-intended',
  CallCompleted: 'call-completed',
  CallAbandoned: 'call-abandoned'
} as const

export type RecordType = typeof RecordType[keyof typeof RecordType]

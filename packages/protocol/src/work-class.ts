/** The two classes of work on the shared fleet: online requests, which have priority, and batch items. */
export const WorkClass = {
  Online: 'online',
  Batch: 'batch'
} as const

export type WorkClass = typeof WorkClass[keyof typeof WorkClass]

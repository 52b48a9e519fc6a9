/** The two classes of work that share the fleet. */
export const WorkClass = {
  Online: 'online',
  Batch: 'batch'
} as const

export type WorkClass = typeof WorkClass[keyof typeof WorkClass]

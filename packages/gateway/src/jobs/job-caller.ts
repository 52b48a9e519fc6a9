/** Who makes a call about a job, and which jobs are theirs. */
import type { Job } from './job.js'

/** The caller as the instance that got the call from the client has found it by its key. */
export interface JobCaller {
  /** Name of the client account, empty for none; null where there are no accounts, and any caller may make any call. */
  readonly account: string | null
}

/** Any caller, where the deployment has no client accounts. */
export const unrestrictedCaller: JobCaller = { account: null }

/** Whether a job exists as far as the caller is concerned: a job of no account does for all callers. */
export function isVisible ({ account }: Pick<Job, 'account'>, caller: JobCaller): boolean {
  return account === undefined || caller.account === null || caller.account === account
}

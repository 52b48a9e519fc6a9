/** Reads and edits the sample plan over the operators' API. */
import assert from 'node:assert/strict'
import { sample } from '@arbutusloft/development'

/** Headers that authenticate the sample operator. */
export const operatorHeaders = { authorization: `Bearer ${sample.operator.key}` }

/** A configuration list as the operators' API returns it: the revision of the list, and each section with its own revision. */
export interface ListView {
  readonly revision: number
  readonly sections: ReadonlyArray<{ readonly name: string, readonly body: string, readonly revision: number }>
}

/** Returns the usage list as the entry at this operator address serves it. */
export async function fetchUsageList (operatorAddress: string): Promise<ListView> {
  const response = await fetch(`http://${operatorAddress}/admin/lists/usage`, { headers: { ...operatorHeaders, accept: 'application/json' } })
  return await response.json() as ListView
}

/** Sets the sample plan's `requests-per-minute` if the plan is still at the base revision; returns the HTTP status. */
export async function editPlan (operatorAddress: string, baseRevision: number, requestsPerMinute: number): Promise<number> {
  const body = [
    `requests-per-minute = ${requestsPerMinute}`,
    'tokens-per-minute = 900000000',
    'concurrency = 20000',
    `models = ${sample.model}`,
    `services = ${sample.confirmationService}, ${sample.catalogueService}`
  ].join('\n')
  const response = await fetch(`http://${operatorAddress}/admin/lists/usage/edits`, {
    method: 'POST',
    headers: { ...operatorHeaders, 'content-type': 'application/json' },
    body: JSON.stringify({ sections: [{ section: 'plan standard', base: baseRevision, body }] })
  })
  await response.text()
  return response.status
}

/** Returns the section of the sample plan in the usage list. */
export function findSamplePlan (list: ListView): { readonly body: string, readonly revision: number } {
  const plan = list.sections.find(section => section.name === 'plan standard')
  assert.ok(plan)
  return plan
}

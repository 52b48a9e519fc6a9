/** Edits of the sample plan over the operators' API. */
import assert from 'node:assert/strict'
import { sample } from '@arbutusloft/development'

/** Headers of an operator's requests. */
export const operatorHeaders = { authorization: `Bearer ${sample.operator.key}` }

/** A list with the revisions of its sections. */
export interface ListView {
  readonly revision: number
  readonly sections: ReadonlyArray<{ readonly name: string, readonly body: string, readonly revision: number }>
}

/** The usage list as an entry shows it to operators. */
export async function usageAt (address: string): Promise<ListView> {
  const response = await fetch(`http://${address}/admin/lists/usage`, { headers: { ...operatorHeaders, accept: 'application/json' } })
  return await response.json() as ListView
}

/** Sets the sample plan's request rate on the condition of its base revision; returns the status. */
export async function editPlan (address: string, base: number, requests: number): Promise<number> {
  const body = [
    `requests-per-minute = ${requests}`,
    'tokens-per-minute = 900000000',
    'concurrency = 20000',
    `models = ${sample.model}`,
    `services = ${sample.service}, ${sample.lookupService}`
  ].join('\n')
  const response = await fetch(`http://${address}/admin/lists/usage/edits`, {
    method: 'POST',
    headers: { ...operatorHeaders, 'content-type': 'application/json' },
    body: JSON.stringify({ sections: [{ section: 'plan standard', base, body }] })
  })
  await response.text()
  return response.status
}

/** The sample plan within the usage list. */
export function planOf (list: ListView): { readonly body: string, readonly revision: number } {
  const plan = list.sections.find(section => section.name === 'plan standard')
  assert.ok(plan)
  return plan
}

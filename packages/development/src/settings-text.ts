/** Settings files for processes that run on one machine. */
import { hashKey } from '@arbutusloft/configuration'

/** Addresses and names that a process's settings name. */
export interface SettingsValues {
  readonly instance: string
  readonly zone: string
  readonly log: string
  readonly instanceList: string
  readonly listen: Readonly<Record<string, string>>
  readonly secret: string
  /** Operators' keys by name. */
  readonly operators?: Readonly<Record<string, string>>
  /** Lines of [limits]. */
  readonly limits?: Readonly<Record<string, number>>
}

/** The text of a settings file. */
export function settingsText (values: SettingsValues): string {
  const operators = Object.entries(values.operators ?? {}).map(([name, key]) => {
    return section(`operator ${name}`, { 'key-hashes': hashKey(key) })
  })
  return [
    section('instance', { id: values.instance, zone: values.zone }),
    section('listen', values.listen),
    section('platform', { log: values.log, 'instance-list': values.instanceList }),
    section('link', { secret: values.secret }),
    section('limits', values.limits ?? {}),
    ...operators
  ].join('\n')
}

function section (name: string, values: Readonly<Record<string, string | number>>): string {
  const lines = Object.entries(values).map(([key, value]) => `${key} = ${value}\n`)
  return `[${name}]\n${lines.join('')}`
}

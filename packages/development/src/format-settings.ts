/** Formats settings files of processes that run on one machine. */
import { hashKey } from '@arbutusloft/configuration'

/** Values of a settings file. */
export interface SettingsValues {
  readonly instance: string
  readonly zone: string
  /** Address of the log. */
  readonly log: string
  /** Address of the instance list. */
  readonly instanceList: string
  /** Addresses to listen on by their names. */
  readonly listen: Readonly<Record<string, string>>
  /** Shared secret of the links between processes. */
  readonly secret: string
  /** Keys of operators by operator name. */
  readonly operators?: Readonly<Record<string, string>>
  /** Settings of the section [limits]. */
  readonly limits?: Readonly<Record<string, number>>
}

/** Returns the text of a settings file. */
export function formatSettings (values: SettingsValues): string {
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

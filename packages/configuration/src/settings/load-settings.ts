/** Parsing and validation of settings files. */
import tsResults from 'ts-results'
import type { Result } from 'ts-results'
import type { z } from 'zod'
import { ConfigurationError } from '../configuration-error.js'
import type { ConfigurationProblem } from '../configuration-error.js'
import { validateSection } from '../ini/validate-section.js'
import { parseIni } from '../ini/ini-document.js'
import type { IniSection } from '../ini/ini-document.js'
import { settingsSchemas } from './settings.js'
import type { LimitSettings, OperatorSettings, Settings } from './settings.js'

const { Ok, Err } = tsResults

const operatorSectionPrefix = 'operator '
const sectionNames = ['instance', 'listen', 'platform', 'link', 'limits'] as const

/** Parses and validates the text of a settings file. Missing limits get their defaults. */
export function loadSettings (text: string): Result<Settings, ConfigurationError> {
  const parsed = parseIni(text)
  if (parsed.err) {
    return parsed
  }
  const problems: ConfigurationProblem[] = findUnknownSections(parsed.val)
  const readSection = <T>(name: keyof typeof settingsSchemas, schema: z.ZodType<T>): T | null => {
    const section = parsed.val.find(candidate => candidate.name === name)
    return validateSection(section ?? createEmptySection(name), schema, problems)
  }
  const instance = readSection('instance', settingsSchemas.instance)
  const listen = readSection('listen', settingsSchemas.listen)
  const platform = readSection('platform', settingsSchemas.platform)
  const link = readSection('link', settingsSchemas.link)
  const limits = readSection('limits', settingsSchemas.limits)
  const operators = readOperators(parsed.val, problems)
  if (problems.length > 0 || instance === null || listen === null || platform === null || link === null || limits === null) {
    return Err(new ConfigurationError(problems))
  }
  return Ok({
    instance,
    listen: {
      caller: listen.caller ?? null,
      operator: listen.operator ?? null,
      link: listen.link ?? null,
      health: listen.health ?? null
    },
    platform: {
      log: platform.log,
      instanceList: platform['instance-list'],
      weightStore: platform['weight-store'] ?? null
    },
    link,
    limits: toLimitSettings(limits),
    operators
  })
}

function findUnknownSections (sections: readonly IniSection[]): ConfigurationProblem[] {
  const known: readonly string[] = sectionNames
  return sections
    .filter(section => !known.includes(section.name) && !section.name.startsWith(operatorSectionPrefix))
    .map(section => ({
      section: section.name,
      line: section.line,
      message: `unknown section; expected ${known.join(', ')} or ${operatorSectionPrefix}NAME`
    }))
}

/** Stands in for a missing section, whose problems are reported at line 1. */
function createEmptySection (name: string): IniSection {
  return { name, line: 1, body: '', values: {} }
}

function readOperators (
  sections: readonly IniSection[],
  problems: ConfigurationProblem[]
): readonly OperatorSettings[] {
  const operators: OperatorSettings[] = []
  for (const section of sections) {
    if (!section.name.startsWith(operatorSectionPrefix)) {
      continue
    }
    const values = validateSection(section, settingsSchemas.operator, problems)
    if (values !== null) {
      operators.push({ name: section.name.slice(operatorSectionPrefix.length).trim(), keyHashes: values['key-hashes'] })
    }
  }
  return operators
}

function toLimitSettings (limits: z.infer<typeof settingsSchemas.limits>): LimitSettings {
  return {
    appendsPerSecond: limits['appends-per-second'],
    appendBytes: limits['append-bytes'],
    requestBytes: limits['request-bytes'],
    fileBytes: limits['file-bytes'],
    itemBytes: limits['item-bytes'],
    jobItems: limits['job-items'],
    connections: limits.connections,
    itemAttempts: limits['item-attempts'],
    batchConcurrency: limits['batch-concurrency'],
    addressMilliseconds: limits['address-milliseconds'],
    patienceMilliseconds: limits['patience-milliseconds'],
    silenceMilliseconds: limits['silence-milliseconds'],
    retentionMilliseconds: limits['retention-milliseconds'],
    instanceListMilliseconds: limits['instance-list-milliseconds'],
    ownerMilliseconds: limits['owner-milliseconds']
  }
}

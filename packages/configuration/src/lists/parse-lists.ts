/**
 * Parsing and validation of the plans list and the usage list. The messages of problems are stored in the audit trail,
 * which processes of different builds must compute alike, so they must not be changed.
 */
import { ListName } from '@arbutusloft/protocol'
import tsResults from 'ts-results'
import type { Result } from 'ts-results'
import { ConfigurationError } from '../configuration-error.js'
import type { ConfigurationProblem } from '../configuration-error.js'
import { validateSection } from '../ini/validate-section.js'
import { findLineOfKey, parseIni } from '../ini/ini-document.js'
import type { IniSection } from '../ini/ini-document.js'
import type { Client, Configuration, Model, Plan, Service, Target } from './configuration.js'
import { isSectionKind, listOfKind, SectionKind, sectionSchemas } from './section-kinds.js'

const { Ok, Err } = tsResults

interface MutableConfiguration {
  readonly clients: Map<string, Client>
  readonly plans: Map<string, Plan>
  readonly models: Map<string, Model>
  readonly services: Map<string, Service>
  readonly targets: Map<string, Target>
}

/** Parsed sections of both lists. */
export interface ListSections {
  readonly [ListName.Plans]: readonly IniSection[]
  readonly [ListName.Usage]: readonly IniSection[]
}

/** Builds the configuration from both lists. Validates each section and the references between sections. */
export function buildConfiguration (sections: ListSections): Result<Configuration, ConfigurationError> {
  const problems: ConfigurationProblem[] = []
  const configuration: MutableConfiguration = {
    clients: new Map(),
    plans: new Map(),
    models: new Map(),
    services: new Map(),
    targets: new Map()
  }
  for (const list of Object.values(ListName)) {
    for (const section of sections[list]) {
      addSection(configuration, list, section, problems)
    }
  }
  const allSections = [...sections[ListName.Plans], ...sections[ListName.Usage]]
  problems.push(...validateReferences(configuration, allSections))
  return problems.length > 0 ? Err(new ConfigurationError(problems)) : Ok(configuration)
}

/** Parses one list and validates each section by itself; references between sections are not checked. */
export function parseList (list: ListName, text: string): Result<readonly IniSection[], ConfigurationError> {
  const parsed = parseIni(text)
  if (parsed.err) {
    return parsed
  }
  const problems: ConfigurationProblem[] = []
  const configuration: MutableConfiguration = {
    clients: new Map(),
    plans: new Map(),
    models: new Map(),
    services: new Map(),
    targets: new Map()
  }
  for (const section of parsed.val) {
    addSection(configuration, list, section, problems)
  }
  return problems.length > 0 ? Err(new ConfigurationError(problems)) : parsed
}

function addSection (
  configuration: MutableConfiguration,
  list: ListName,
  section: IniSection,
  problems: ConfigurationProblem[]
): void {
  const [kind = '', name = '', ...rest] = section.name.split(/\s+/)
  if (!isSectionKind(kind) || listOfKind[kind] !== list || name === '' || rest.length > 0) {
    const kinds = Object.values(SectionKind).filter(known => listOfKind[known] === list)
    const expected = kinds.map(known => `[${known} NAME]`).join(', ')
    problems.push({ section: section.name, line: section.line, message: `the ${list} list has sections ${expected}` })
    return
  }
  switch (kind) {
    case SectionKind.Client:
      setUnlessNull(configuration.clients, name, validateSection(section, sectionSchemas[kind], problems))
      break
    case SectionKind.Plan:
      setUnlessNull(configuration.plans, name, validateSection(section, sectionSchemas[kind], problems))
      break
    case SectionKind.Model:
      setUnlessNull(configuration.models, name, validateSection(section, sectionSchemas[kind], problems))
      break
    case SectionKind.Service:
      setUnlessNull(configuration.services, name, validateSection(section, sectionSchemas[kind], problems))
      break
    case SectionKind.Target:
      setUnlessNull(configuration.targets, name, validateSection(section, sectionSchemas[kind], problems))
      break
  }
}

function setUnlessNull<T extends { readonly name: string }> (
  map: Map<string, T>,
  name: string,
  value: Omit<T, 'name'> | null
): void {
  if (value !== null) {
    map.set(name, { ...value, name } as T)
  }
}

function validateReferences (configuration: MutableConfiguration, sections: readonly IniSection[]): readonly ConfigurationProblem[] {
  const problems: ConfigurationProblem[] = []
  const requireReference = (exists: boolean, header: string, key: string, reference: string): void => {
    if (exists) {
      return
    }
    const section = sections.find(candidate => candidate.name.split(/\s+/).join(' ') === header)
    const line = section === undefined ? null : findLineOfKey(section, key)
    problems.push({ section: header, line, message: `key "${key}" names ${reference}, which is not there` })
  }
  for (const client of configuration.clients.values()) {
    requireReference(configuration.plans.has(client.plan), `client ${client.name}`, 'plan', `plan "${client.plan}"`)
  }
  for (const plan of configuration.plans.values()) {
    for (const model of plan.models) {
      requireReference(configuration.models.has(model), `plan ${plan.name}`, 'models', `model "${model}"`)
    }
    for (const service of plan.services) {
      requireReference(configuration.services.has(service), `plan ${plan.name}`, 'services', `service "${service}"`)
    }
  }
  for (const target of configuration.targets.values()) {
    const header = `target ${target.name}`
    requireReference(target.model === null || configuration.models.has(target.model), header, 'model', `model "${target.model}"`)
    requireReference(target.service === null || configuration.services.has(target.service), header, 'service', `service "${target.service}"`)
  }
  return problems
}

/** Parsing and validation of the plans list and the usage list. */
import { ListName } from '@arbutusloft/protocol'
import tsResults from 'ts-results'
import type { Result } from 'ts-results'
import { ConfigurationError } from '../configuration-error.js'
import type { ConfigurationProblem } from '../configuration-error.js'
import { validateSection } from '../ini/check-section.js'
import { findLineOfKey, parseIni } from '../ini/ini-document.js'
import type { IniSection } from '../ini/ini-document.js'
import type { Client, Configuration, Model, Plan, Service, Target } from './configuration.js'
import { isSectionKind, listOfKind, SectionKind, sectionSchemas } from './section-kinds.js'

const { Ok, Err } = tsResults

interface ConfigurationBuilder {
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
  const builder: ConfigurationBuilder = {
    clients: new Map(),
    plans: new Map(),
    models: new Map(),
    services: new Map(),
    targets: new Map()
  }
  for (const list of Object.values(ListName)) {
    for (const section of sections[list]) {
      addSection(builder, list, section, problems)
    }
  }
  const allSections = [...sections[ListName.Plans], ...sections[ListName.Usage]]
  problems.push(...validateReferences(builder, allSections))
  return problems.length > 0 ? Err(new ConfigurationError(problems)) : Ok(builder)
}

/** Parses one list and validates each section by itself; references between sections are not checked. */
export function parseList (list: ListName, text: string): Result<readonly IniSection[], ConfigurationError> {
  const parsed = parseIni(text)
  if (parsed.err) {
    return parsed
  }
  const problems: ConfigurationProblem[] = []
  const builder: ConfigurationBuilder = {
    clients: new Map(),
    plans: new Map(),
    models: new Map(),
    services: new Map(),
    targets: new Map()
  }
  for (const section of parsed.val) {
    addSection(builder, list, section, problems)
  }
  return problems.length > 0 ? Err(new ConfigurationError(problems)) : parsed
}

function addSection (
  builder: ConfigurationBuilder,
  list: ListName,
  section: IniSection,
  problems: ConfigurationProblem[]
): void {
  const [kind = '', name = '', ...rest] = section.name.split(/\s+/)
  if (!isSectionKind(kind) || listOfKind[kind] !== list || name === '' || rest.length > 0) {
    const kinds = Object.values(SectionKind).filter(known => listOfKind[known] === list)
    const expected = kinds.map(known => `[${known} NAME]`).join(', ')
    problems.push({ section: section.name, line: section.line, message: `invalid section header; the ${list} list has sections ${expected}` })
    return
  }
  switch (kind) {
    case SectionKind.Client:
      setUnlessNull(builder.clients, name, validateSection(section, sectionSchemas[kind], problems))
      break
    case SectionKind.Plan:
      setUnlessNull(builder.plans, name, validateSection(section, sectionSchemas[kind], problems))
      break
    case SectionKind.Model:
      setUnlessNull(builder.models, name, validateSection(section, sectionSchemas[kind], problems))
      break
    case SectionKind.Service:
      setUnlessNull(builder.services, name, validateSection(section, sectionSchemas[kind], problems))
      break
    case SectionKind.Target:
      setUnlessNull(builder.targets, name, validateSection(section, sectionSchemas[kind], problems))
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

function validateReferences (builder: ConfigurationBuilder, sections: readonly IniSection[]): readonly ConfigurationProblem[] {
  const problems: ConfigurationProblem[] = []
  const requireReference = (exists: boolean, header: string, key: string, reference: string): void => {
    if (exists) {
      return
    }
    const section = sections.find(candidate => candidate.name.split(/\s+/).join(' ') === header)
    const line = section === undefined ? null : findLineOfKey(section, key)
    problems.push({ section: header, line, message: `key "${key}" names ${reference}, which does not exist` })
  }
  for (const client of builder.clients.values()) {
    requireReference(builder.plans.has(client.plan), `client ${client.name}`, 'plan', `plan "${client.plan}"`)
  }
  for (const plan of builder.plans.values()) {
    for (const model of plan.models) {
      requireReference(builder.models.has(model), `plan ${plan.name}`, 'models', `model "${model}"`)
    }
    for (const service of plan.services) {
      requireReference(builder.services.has(service), `plan ${plan.name}`, 'services', `service "${service}"`)
    }
  }
  for (const target of builder.targets.values()) {
    const header = `target ${target.name}`
    requireReference(target.model === null || builder.models.has(target.model), header, 'model', `model "${target.model}"`)
    requireReference(target.service === null || builder.services.has(target.service), header, 'service', `service "${target.service}"`)
  }
  return problems
}

/**
 * Settings files of processes, and the two configuration lists that operators edit: the plans list (clients) and
 * the usage list (plans, models, services and targets).
 */
export * from './configuration-error.js'
export * from './ini/ini-document.js'
export * from './lists/configuration.js'
export * from './lists/parse-lists.js'
export * from './lists/diff-list.js'
export * from './settings/settings.js'
export * from './settings/load-settings.js'
export * from './fold/configuration-fold.js'
export * from './fold/audit-entry.js'
export * from './util/hash-key.js'

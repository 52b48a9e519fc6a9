/** List of all commands. */
import type { CommandClass } from 'clipanion'
import { AuditCommand } from './audit-command.js'
import { ChargesCommand } from './charges-command.js'
import { ExplainCommand } from './explain-command.js'
import { HashKeyCommand } from './hash-key-command.js'
import { CancelJobCommand, JobResultsCommand, ListJobsCommand, SubmitJobCommand, WatchJobCommand } from './jobs-commands.js'
import { DiffListCommand, GetListCommand, PublishListCommand } from './list-commands.js'
import { TargetsCommand } from './targets-command.js'

/** All commands, in the order in which they are registered. */
export const commands: readonly CommandClass[] = [
  GetListCommand,
  DiffListCommand,
  PublishListCommand,
  AuditCommand,
  ExplainCommand,
  TargetsCommand,
  ChargesCommand,
  SubmitJobCommand,
  ListJobsCommand,
  WatchJobCommand,
  CancelJobCommand,
  JobResultsCommand,
  HashKeyCommand
]

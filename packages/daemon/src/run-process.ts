/** The entry point of a process: loads the settings, starts its role, and stops it on a signal. */
import { readFile } from 'node:fs/promises'
import { ConfigurationError, loadSettings } from '@arbutusloft/configuration'
import type { Settings } from '@arbutusloft/configuration'
import { messageOf } from '@arbutusloft/protocol'
import type { MemberKind } from '@arbutusloft/adapters'
import { createLogger } from './create-logger.js'
import type { Logger } from './create-logger.js'

/** A running role. */
export interface RunningRole {
  /** Addresses on which the role listens, by their names in the settings; null where it does not listen. */
  readonly addresses: Readonly<Record<string, string | null>>
  /** Drains and stops the role. */
  close: () => Promise<void>
}

/** Starts a role with the settings. */
export type RoleStarter = (settings: Settings, logger: Logger) => Promise<RunningRole>

const usageExitCode = 2
const failureExitCode = 1

/** Runs a role until SIGTERM or SIGINT. The first command-line argument is the path of the settings file. */
export async function runProcess (role: MemberKind, start: RoleStarter): Promise<void> {
  const settings = await loadSettingsFile(role)
  if (settings === null) {
    process.exitCode = usageExitCode
    return
  }
  const logger = createLogger({ fields: { process: role, instance: settings.instance.id } })
  process.on('uncaughtException', error => {
    logger.error('uncaught exception', { error, stack: error.stack })
    process.exit(failureExitCode)
  })
  process.on('unhandledRejection', error => {
    logger.error('unhandled rejection', { error: messageOf(error), stack: error instanceof Error ? error.stack : null })
    process.exit(failureExitCode)
  })
  try {
    const running = await start(settings, logger)
    logger.info('started', { addresses: running.addresses })
    stopOnSignals(running, logger)
  } catch (error) {
    logger.error('failed to start', { error: messageOf(error) })
    process.exit(failureExitCode)
  }
}

async function loadSettingsFile (role: MemberKind): Promise<Settings | null> {
  const path = process.argv[2]
  if (path === undefined) {
    process.stderr.write(`usage: arbutus-${role} SETTINGS.ini\n`)
    return null
  }
  try {
    const settings = loadSettings(await readFile(path, 'utf8'))
    if (settings.ok) {
      return settings.val
    }
    process.stderr.write(`${path} is not a valid settings file:\n${settings.val.message}\n`)
  } catch (error) {
    const message = error instanceof ConfigurationError ? error.message : messageOf(error)
    process.stderr.write(`failed to read ${path}: ${message}\n`)
  }
  return null
}

function stopOnSignals (running: RunningRole, logger: Logger): void {
  let stopping = false
  const stop = (signal: NodeJS.Signals): void => {
    if (stopping) {
      return
    }
    stopping = true
    logger.info('draining', { signal })
    running.close().then(
      () => { process.exit(0) },
      (error: unknown) => {
        logger.error('failed to stop cleanly', { error: messageOf(error) })
        process.exit(failureExitCode)
      }
    )
  }
  process.on('SIGTERM', stop)
  process.on('SIGINT', stop)
}

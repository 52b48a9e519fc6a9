/** Stand-in for the platform's supervisor, which starts the system's processes and sends them signals. */
import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { createInterface } from 'node:readline'

/** Addresses that a process reports when it has started, by their names in its settings. */
export type ReportedAddresses = Readonly<Record<string, string | null>>

const linesKept = 2_000

/** A process ended before it reported its start. */
export class StartEndedError extends Error {
  override readonly name = 'StartEndedError'

  /** With the signal that ended the process, or null if it ended by itself. */
  constructor (processName: string, readonly signal: NodeJS.Signals | null, lines: readonly string[]) {
    super(`${processName} did not start (${signal ?? 'ended by itself'}):\n${lines.join('\n')}`)
  }
}

/** Whether an error tells of a process that ended before it had started. */
export function isStartEndedError (error: unknown): error is StartEndedError {
  return error instanceof StartEndedError
}

/** How a process is started. */
export interface SupervisedProcessOptions {
  readonly arguments?: readonly string[]
  /** Variables beside those of this process. */
  readonly environment?: Readonly<Record<string, string>>
}

/** One process, from its start to its end. */
export class SupervisedProcess {
  readonly #child: ChildProcess
  readonly #exited: Promise<number | null>
  /** The last lines of its log. */
  readonly lines: string[] = []

  /** Starts a program of this Node.js. */
  constructor (private readonly name: string, program: string, options: SupervisedProcessOptions) {
    this.#child = spawn(process.execPath, [program, ...options.arguments ?? []], {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { ...process.env, ...options.environment }
    })
    this.#exited = new Promise(resolve => { this.#child.once('exit', code => { resolve(code) }) })
  }

  /** Identifier of the process, or 0 if it did not start. */
  get pid (): number {
    return this.#child.pid ?? 0
  }

  get running (): boolean {
    return this.#child.exitCode === null && this.#child.signalCode === null
  }

  /** Resolves with the exit code, or null after a signal. */
  get exited (): Promise<number | null> {
    return this.#exited
  }

  signal (signal: NodeJS.Signals): void {
    this.#child.kill(signal)
  }

  /**
   * Resolves with its addresses when its log says that it has started.
   * @throws {StartEndedError} if it ends before.
   */
  async started (): Promise<ReportedAddresses> {
    const { stdout, stderr } = this.#child
    return await new Promise((resolve, reject) => {
      for (const input of [stdout, stderr]) {
        if (input !== null) {
          createInterface({ input }).on('line', line => { this.#onLine(line, resolve) })
        }
      }
      this.#child.once('exit', (_code, signal) => { reject(new StartEndedError(this.name, signal, this.lines)) })
    })
  }

  #onLine (line: string, onStarted: (addresses: ReportedAddresses) => void): void {
    this.lines.push(line)
    if (this.lines.length > linesKept) {
      this.lines.shift()
    }
    const entry = parseLine(line)
    if (entry?.message === 'started') {
      onStarted(entry.addresses ?? {})
    }
  }
}

interface StartedLine {
  readonly message: string
  readonly addresses?: ReportedAddresses
}

function parseLine (line: string): StartedLine | null {
  try {
    return JSON.parse(line) as StartedLine
  } catch {
    return null
  }
}

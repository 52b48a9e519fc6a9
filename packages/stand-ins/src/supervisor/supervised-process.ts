/** Stand-in for the platform's supervisor, which starts the system's processes and sends signals to them. */
import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { createInterface } from 'node:readline'

/** Addresses that a process logs once it has started, by their names in its settings. */
export type ReportedAddresses = Readonly<Record<string, string | null>>

const maximumLogLines = 2_000

/** Thrown when a process exits before it logs the message `started`; the error message holds the last lines of its log. */
export class StartEndedError extends Error {
  override readonly name = 'StartEndedError'

  /**
   * @param code exit code, or null if a signal terminated the process
   * @param signal signal that terminated the process, or null if it exited by itself
   */
  constructor (processName: string, code: number | null, readonly signal: NodeJS.Signals | null, lines: readonly string[]) {
    super(`${processName} exited with ${signal ?? `code ${code}`} before it logged 'started'; last lines:\n${lines.join('\n')}`)
  }
}

/** Returns whether an error is a {@link StartEndedError}. */
export function isStartEndedError (error: unknown): error is StartEndedError {
  return error instanceof StartEndedError
}

/** Options of a {@link SupervisedProcess}. */
export interface SupervisedProcessOptions {
  readonly arguments?: readonly string[]
  /** Options of Node.js itself, for example for profiling. */
  readonly nodeOptions?: readonly string[]
  /** Environment variables to set in addition to those of this process. */
  readonly environment?: Readonly<Record<string, string>>
}

/** A child process that runs a Node.js program, from its start to its exit. */
export class SupervisedProcess {
  readonly #child: ChildProcess
  readonly #exited: Promise<number | null>
  /** Last 2,000 lines of its standard output and standard error, read from the first call of {@link started} on. */
  readonly logLines: string[] = []

  /**
   * Starts a program with the Node.js binary that runs this process.
   * @param name name for error messages
   * @param program path of the program
   */
  constructor (private readonly name: string, program: string, options: SupervisedProcessOptions) {
    this.#child = spawn(process.execPath, [...options.nodeOptions ?? [], program, ...options.arguments ?? []], {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { ...process.env, ...options.environment }
    })
    this.#exited = new Promise(resolve => { this.#child.once('exit', code => { resolve(code) }) })
  }

  /** Process identifier, or 0 if the process could not be spawned. */
  get pid (): number {
    return this.#child.pid ?? 0
  }

  get running (): boolean {
    return this.#child.exitCode === null && this.#child.signalCode === null
  }

  /** Resolves with the exit code, or with null if a signal terminated the process. */
  get exited (): Promise<number | null> {
    return this.#exited
  }

  signal (signal: NodeJS.Signals): void {
    this.#child.kill(signal)
  }

  /**
   * Waits until the process logs a JSON line with the message `started`, and returns the addresses in that line.
   * @throws {StartEndedError} if the process exits first.
   */
  async started (): Promise<ReportedAddresses> {
    const { stdout, stderr } = this.#child
    return await new Promise((resolve, reject) => {
      for (const input of [stdout, stderr]) {
        if (input !== null) {
          createInterface({ input }).on('line', line => { this.#onLine(line, resolve) })
        }
      }
      this.#child.once('exit', (code, signal) => { reject(new StartEndedError(this.name, code, signal, this.logLines)) })
    })
  }

  #onLine (line: string, onStarted: (addresses: ReportedAddresses) => void): void {
    this.logLines.push(line)
    if (this.logLines.length > maximumLogLines) {
      this.logLines.shift()
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

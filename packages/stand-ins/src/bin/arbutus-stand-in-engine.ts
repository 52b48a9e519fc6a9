#!/usr/bin/env node
/** Command-line program of the stand-in for a model engine. */
import { Command, Option } from 'clipanion'
import { defaultEngineOptions } from '../engine/engine-options.js'
import { startEngineStandIn } from '../engine/engine-stand-in.js'
import { runStandIn, serveUntilSignal } from './run-stand-in.js'

class EngineCommand extends Command {
  static override paths = [Command.Default]
  static override usage = Command.Usage({ description: 'Run a stand-in for a model engine.' })

  readonly port = Option.String('--port', '0', { description: 'Port to listen on; 0 binds a free one' })
  readonly answerTokens = Option.String('--answer-tokens', '0', { description: 'Length of answers in tokens; 0 makes it depend on the prompt' })
  readonly stepMilliseconds = Option.String('--step-milliseconds', '4', { description: 'Fixed cost of a step in milliseconds' })
  readonly maximumSequences = Option.String('--sequences', '64', { description: 'Maximum number of sequences that run at once' })
  readonly model = Option.String('--model', 'stylist-small', { description: 'Name of the served model' })
  readonly ignoresFencing = Option.Boolean('--ignore-fencing', false, { description: 'Execute orders with stale fencing tokens' })

  async execute (): Promise<void> {
    const standIn = await startEngineStandIn({
      port: Number(this.port),
      model: this.model,
      checksFencing: !this.ignoresFencing,
      answerTokens: Number(this.answerTokens) === 0 ? null : Number(this.answerTokens),
      maximumSequences: Number(this.maximumSequences),
      costs: { ...defaultEngineOptions.costs, stepMilliseconds: Number(this.stepMilliseconds) }
    })
    await serveUntilSignal(standIn)
  }
}

await runStandIn('arbutus-stand-in-engine', EngineCommand)

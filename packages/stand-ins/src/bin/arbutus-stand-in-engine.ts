#!/usr/bin/env node
/** Binary of the stand-in for a model engine. */
import { Command, Option } from 'clipanion'
import { defaultEngineOptions } from '../engine/engine-options.js'
import { startEngineStandIn } from '../engine/engine-stand-in.js'
import { runStandIn, serveUntilSignal } from './run-stand-in.js'

class EngineCommand extends Command {
  static override paths = [Command.Default]
  static override usage = Command.Usage({ description: 'Stands in for a model engine.' })

  readonly port = Option.String('--port', '0', { description: 'Port; 0 takes a free one' })
  readonly answerTokens = Option.String('--answer-tokens', '0', { description: 'Tokens of an answer; 0 varies by prompt' })
  readonly step = Option.String('--step-milliseconds', '4', { description: 'Milliseconds of a step' })
  readonly sequences = Option.String('--sequences', '64', { description: 'Sequences that run at once' })
  readonly model = Option.String('--model', 'stylist-small', { description: 'Model that it serves' })
  readonly ignoresFencing = Option.Boolean('--ignore-fencing', false, { description: 'Carry out orders with old fencing numbers' })

  async execute (): Promise<void> {
    const standIn = await startEngineStandIn({
      port: Number(this.port),
      model: this.model,
      checksFencing: !this.ignoresFencing,
      answerTokens: Number(this.answerTokens) === 0 ? null : Number(this.answerTokens),
      sequences: Number(this.sequences),
      costs: { ...defaultEngineOptions.costs, stepMilliseconds: Number(this.step) }
    })
    await serveUntilSignal(standIn)
  }
}

await runStandIn('arbutus-stand-in-engine', EngineCommand)

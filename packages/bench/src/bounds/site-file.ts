/** What the model needs of a site file of the users' bench. */
import { parse } from 'smol-toml'
import * as z from 'zod'

const mean = z.object({ mean: z.number() })

const trouble = z.object({
  kind: z.string(),
  at: z.number().optional(),
  for_s: z.number().optional(),
  down_s: z.number().optional(),
  share: z.number().optional(),
  how: z.string().optional()
})

const traffic = z.object({
  mix: z.record(z.string(), z.number()),
  per_s: z.number(),
  shape: z.object({ kind: z.string(), steps: z.array(z.tuple([z.number(), z.number()])).optional() })
})

const schema = z.object({
  name: z.string(),
  lead_s: z.number(),
  length_s: z.number(),
  thin: z.number().optional(),
  bounds: z.object({ recover_s: z.number() }),
  prices: z.object({ machine_s: z.number() }),
  goal: z.object({ mean: z.number(), window: z.number(), class: z.number(), zone: z.number() }),
  machines: z.array(z.object({ count: z.number() })),
  services: z.array(z.object({
    servers: z.array(z.object({ count: z.number() })),
    slots: z.number(),
    llm: z.object({ step_ms: z.number(), stride: z.number(), prefill_tokens_per_ms: z.number() })
  })).min(1),
  classes: z.array(z.object({
    name: z.string(),
    kind: z.string(),
    aim_ms: z.number(),
    worth: z.number(),
    late_worth: z.number(),
    stream: z.object({ pieces: mean, prompt_tokens: mean }),
    lot: z.object({ run_aim_ms: z.number(), items: mean }).optional()
  })),
  day: z.array(z.object({
    name: z.string(),
    closing: trouble.optional(),
    plan: z.array(trouble).optional(),
    faults: z.array(trouble).optional(),
    traffic: z.array(traffic)
  }))
})

/** A site file as it is written; names are the bench's. */
export type SiteFile = z.infer<typeof schema>
export type SiteDay = SiteFile['day'][number]
export type SiteTrouble = z.infer<typeof trouble>

/** The file is not one of the bench's site files. */
export class SiteFileError extends Error {
  override readonly name = 'SiteFileError'
}

/** Reads a site file. */
export function parseSiteFile (text: string): SiteFile {
  const result = schema.safeParse(parse(text))
  if (!result.success) {
    throw new SiteFileError(result.error.issues.map(issue => `${issue.path.join('.')}: ${issue.message}`).join('\n'))
  }
  return result.data
}

#!/usr/bin/env node
/** Command `arbutus-batch`: runs a batch process. */
import { runProcess } from '@arbutusloft/daemon'
import { MemberKind } from '@arbutusloft/adapters'
import { startBatch } from '../batch.js'

await runProcess(MemberKind.Batch, startBatch)

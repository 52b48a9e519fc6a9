#!/usr/bin/env node
/** Binary of the batch process. */
import { runProcess } from '@arbutusloft/daemon'
import { MemberKind } from '@arbutusloft/adapters'
import { startBatch } from '../batch.js'

await runProcess(MemberKind.Batch, startBatch)

#!/usr/bin/env node
/** Binary of the scheduler. */
import { runProcess } from '@arbutusloft/daemon'
import { MemberKind } from '@arbutusloft/adapters'
import { startScheduler } from '../scheduler.js'

await runProcess(MemberKind.Scheduler, startScheduler)

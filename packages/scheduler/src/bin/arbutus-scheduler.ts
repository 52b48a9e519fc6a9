#!/usr/bin/env node
/** Binary of the scheduler. */
import { runProcess } from '@arbutusloft/daemon'
import { MemberKind } from '@arbutusloft/platform'
import { startScheduler } from '../scheduler.js'

await runProcess(MemberKind.Scheduler, startScheduler)

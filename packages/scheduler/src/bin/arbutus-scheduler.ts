#!/usr/bin/env node
/** Executable of the scheduler process. */
import { runProcess } from '@arbutusloft/daemon'
import { MemberKind } from '@arbutusloft/adapters'
import { startScheduler } from '../scheduler.js'

await runProcess(MemberKind.Scheduler, startScheduler)

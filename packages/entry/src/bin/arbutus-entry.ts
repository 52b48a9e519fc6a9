#!/usr/bin/env node
/** Command `arbutus-entry`: runs an entry process. */
import { runProcess } from '@arbutusloft/daemon'
import { MemberKind } from '@arbutusloft/adapters'
import { startEntry } from '../entry.js'

await runProcess(MemberKind.Entry, startEntry)

#!/usr/bin/env node
/** Binary of the entry. */
import { runProcess } from '@arbutusloft/daemon'
import { MemberKind } from '@arbutusloft/adapters'
import { startEntry } from '../entry.js'

await runProcess(MemberKind.Entry, startEntry)

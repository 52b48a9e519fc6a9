/** Charges requests for slots to their accounts: at the owner, which decides, and at the holder, which can tell a new owner what it was granted. */
import { DecisionKind, RefusalReason, SlotOutcome } from '@arbutusloft/policy'
import type { AccountAllowances, AllowanceRefusal, GrantedUsage, OwnerProcess, SlotDecision, SlotRefusal, SlotRequest } from '@arbutusloft/policy'
import { WorkClass } from '@arbutusloft/protocol'

/** Dependencies of {@link AccountCharging}. */
export interface AccountChargingDependencies {
  readonly allowances: AccountAllowances
  readonly usage: GrantedUsage
  /** Returns the time of a clock that is not set, in milliseconds. */
  readonly now: () => number
  /** Returns the latest process at an address, as far as it is known. */
  readonly processOf: (address: string) => OwnerProcess
  /** Called before a request is decided. */
  readonly onRequest: () => void
  /** Called when a request was refused. */
  readonly onRefused: (refusal: AllowanceRefusal) => void
  /** Called when the charges may have changed. */
  readonly onCharged: () => void
}

/** What {@link SlotOwner} and {@link SlotClient} tell of requests. Those without the name of an account are not charged. */
export class AccountCharging {
  constructor (private readonly dependencies: AccountChargingDependencies) {}

  /** Charges a request that arrives at its owner; returns a refusal if its account has used its allowance, or null. */
  admit (request: SlotRequest): SlotRefusal | null {
    const { permit, holder } = request
    if (!isCharged(request)) {
      return null
    }
    const { allowances, now, onRequest, onRefused, onCharged } = this.dependencies
    onRequest()
    const refusal = allowances.request({ permit, holder, account: request.caller.account }, now())
    if (refusal === null) {
      onCharged()
      return null
    }
    onRefused(refusal)
    return { kind: DecisionKind.Refuse, permit, holder, reason: RefusalReason.OverAllowance, retryAfter: refusal.retryAfter }
  }

  /** Takes note of a decision of the owner. */
  onDecision ({ kind, permit }: SlotDecision): void {
    const { allowances, now } = this.dependencies
    if (kind === DecisionKind.Grant) {
      allowances.onGranted(permit, now())
    } else if (kind === DecisionKind.Refuse) {
      allowances.refund(permit)
    }
    this.dependencies.onCharged()
  }

  /** Takes note at the owner that its holder has given a request up, or asked another owner: a grant that the holder has not got is not used then. */
  onWithdrawn (permit: string): void {
    this.dependencies.allowances.refund(permit)
    this.dependencies.onCharged()
  }

  /** Takes note at the owner that a slot was released. */
  onReleased (permit: string, outcome: SlotOutcome): void {
    if (outcome === SlotOutcome.NotRun) {
      this.dependencies.allowances.refund(permit)
    } else {
      this.dependencies.allowances.withdraw(permit)
    }
    this.dependencies.onCharged()
  }

  /** Takes note at the owner that a holder has failed, with its waiting requests. */
  onHolderLost (holder: string): void {
    this.dependencies.allowances.forgetHolder(holder)
    this.dependencies.onCharged()
  }

  /** Takes note at the holder that an owner has granted a slot. */
  onSlotGranted (permit: string, owner: string, request: Pick<SlotRequest, 'workClass' | 'caller'>): void {
    if (isCharged(request)) {
      this.dependencies.usage.add(permit, request.caller.account, this.dependencies.processOf(owner), this.dependencies.now())
    }
  }

  /** Takes note at the holder that it has released a slot. */
  onSlotReleased (permit: string, outcome: SlotOutcome): void {
    if (outcome === SlotOutcome.NotRun) {
      this.dependencies.usage.refund(permit)
    }
  }
}

/** Whether a request counts towards the allowance of an account. */
function isCharged<T extends Pick<SlotRequest, 'workClass' | 'caller'>> (request: T): request is T & Required<Pick<SlotRequest, 'caller'>> {
  const { workClass, caller } = request
  return workClass === WorkClass.Online && caller !== undefined && caller.account !== '' && !caller.isCounted
}

/** Values of the field `type` of messages on the links between processes. */
export const MessageType = {
  Challenge: 'challenge',
  Proof: 'proof',
  Welcome: 'welcome',
  PermitRequest: 'permit-request',
  PermitQueued: 'permit-queued',
  PermitGrant: 'permit-grant',
  PermitRefuse: 'permit-refuse',
  PermitRevoke: 'permit-revoke',
  PermitReturn: 'permit-return',
  PermitWithdraw: 'permit-withdraw',
  PermitRegister: 'permit-register',
  LedgerReport: 'ledger-report',
  LoadReport: 'load-report',
  LimitDemand: 'limit-demand',
  LimitShare: 'limit-share',
  ConfigurationHead: 'configuration-head',
  ConfigurationFetch: 'configuration-fetch',
  ConfigurationEntries: 'configuration-entries',
  ConfigurationSnapshot: 'configuration-snapshot'
} as const

export type MessageType = typeof MessageType[keyof typeof MessageType]

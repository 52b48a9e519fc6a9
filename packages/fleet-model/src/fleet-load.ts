/** A load on a fleet: its targets, the online requests and batch jobs that arrive, and what is lost or cut off on the way. */

/** A kind of online request. */
export interface OnlineKind {
  readonly name: string
  /** Mean arrivals per second. */
  readonly perSecond: number
  /** Milliseconds from the start of an attempt within which the first event is due. */
  readonly objectiveMilliseconds: number
  /** Milliseconds for which a caller waits in all. */
  readonly deadlineMilliseconds: number
  /** Mean milliseconds for which a request holds its slot. */
  readonly holdMilliseconds: number
  /** Milliseconds from the grant of a slot to the first event. */
  readonly firstEventMilliseconds: number
  /** Worth of an answer in time, and of a late one. */
  readonly worth: number
  readonly lateWorth: number
  /** Whether an answer that broke off can be continued at another target. */
  readonly isResumable: boolean
}

/** Batch jobs. */
export interface BatchKind {
  /** Mean items per second. */
  readonly itemsPerSecond: number
  /** Items of one job, which arrive together. */
  readonly itemsPerJob: number
  /** Mean milliseconds of a slot that an item needs in all. */
  readonly holdMilliseconds: number
  /** Milliseconds from its arrival within which an item is due. */
  readonly dueMilliseconds: number
  readonly worth: number
  readonly lateWorth: number
}

/** Targets that become unavailable. */
export interface TargetLoss {
  /** Milliseconds from the start. */
  readonly at: number
  /** Milliseconds after which they are back; `Infinity` if they never are. */
  readonly forMilliseconds: number
  /** Share of the targets. */
  readonly share: number
  /** Whether they announce it and finish what runs, or break off and refuse connections until the list of targets changes. */
  readonly isAnnounced: boolean
}

/** Instances of the gateway that are cut off from all targets: what runs for them breaks off. */
export interface InstanceCut {
  /** Milliseconds from the start. */
  readonly at: number
  readonly forMilliseconds: number
  /** Share of the instances. */
  readonly share: number
  /** Whether new connections hang until they are given up, instead of being refused. */
  readonly isHanging: boolean
}

/** Answers that take longer than usual, wherever they are made. */
export interface AnswerNoise {
  /** Share of the answers. */
  readonly share: number
  /** Factor of their time. */
  readonly factor: number
}

/** What distinguishes availability zones. */
export interface ZoneLoad {
  /** Milliseconds between two zones, one way. */
  readonly crossMilliseconds: number
  /** Bytes of a request with its answer, and of an item with its answer, that go between two zones if its target is in another zone than its instance. */
  readonly bytesOfRequest: number
  readonly bytesOfItem: number
  /** Targets in each of the three zones; their sum is {@link FleetLoad.targets}. */
  readonly targets: readonly number[]
}

/** A load. */
export interface FleetLoad {
  readonly name: string
  readonly description: string
  readonly targets: number
  readonly slotsOfTarget: number
  /** Milliseconds for which requests and jobs arrive. */
  readonly milliseconds: number
  /** Factors of the rate of online requests; each applies from a time in milliseconds on. */
  readonly steps: ReadonlyArray<readonly [from: number, factor: number]>
  readonly online: readonly OnlineKind[]
  readonly batch: BatchKind
  readonly losses: readonly TargetLoss[]
  readonly cuts: readonly InstanceCut[]
  /** Speeds of the targets of each zone in turn, 1 being the usual one; omitted if all have that. */
  readonly targetSpeeds?: readonly number[]
  readonly noise?: AnswerNoise
  /** Share of its time by which each other busy slot of its target makes an answer take longer; omitted for none. */
  readonly slowdownPerSlot?: number
  /** Omitted if targets are spread evenly, and zones do not matter. */
  readonly zones?: ZoneLoad
}

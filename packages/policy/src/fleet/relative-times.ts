/**
 * How long each target takes for the same work, relative to the others. Load: two thirds of the targets at 0.7 of the usual speed, one third at 1.7, and
 * 15 of 100 answers that take 2.5 times as long wherever they are made.
 */

/** A target by id and start, and the version of its software. */
export interface TimedTarget {
  readonly id: string
  readonly born: number
  readonly softwareVersion: string
}

interface TimedSample {
  /** Milliseconds since the epoch. */
  readonly at: number
  /** Kind of work, which determines the usual time, as the slots in use do. */
  readonly group: string
  readonly slotsInUse: number
  /** Natural logarithm of the milliseconds. */
  readonly logTime: number
}

interface TargetTimes {
  readonly born: number
  readonly softwareVersion: string
  /** Time of the first answer, in milliseconds since the epoch. */
  readonly since: number
  samples: TimedSample[]
  /** Natural logarithm of the target's time relative to the usual one. */
  estimate: number
  /** Samples since the estimate was made. */
  unused: number
  /** Variance of the estimate, in units of that of one sample. */
  variance: number
  readonly means: Map<string, TargetMeans>
  /** Number of latest samples in a row that differ from the estimate by more than twice in the same direction; negative if they are shorter. */
  deviating: number
}

/** Means of a target's samples of one kind of work, of which the latest ones weigh most. */
interface TargetMeans {
  slotsInUse: number
  logTime: number
  weight: number
}

/** Usual time of a kind of work: its logarithm rises evenly with the slots in use. */
interface UsualTime {
  /** Natural logarithm of the milliseconds with no slot in use, without what is due to the target. */
  intercept: number
  weight: number
  /** Milliseconds since the epoch. */
  at: number
  /** Covariance of slots in use and logarithms of times on the same target, and variance of the slots, both as decaying sums. */
  covariance: number
  variance: number
}

/** What is known of all targets together. */
interface Summary {
  readonly at: number
  /** Mean of the estimates. */
  readonly centre: number
  readonly areUnequal: boolean
}

/** Age at which a sample has half of the weight of a new one. */
const halfLifeMilliseconds = 5_000
/** Age from which a sample does not count. A target without newer ones is of unknown speed, so that it is tried again. */
const maximumAgeMilliseconds = 60_000
/** Samples of a target that are kept. The deviation of their weighted median is then about a sixth of that of one sample. */
const maximumSamples = 64
/** Number of samples up to which each one leads to a new estimate, and number of further samples for each. */
const promptSamples = 16
const samplesPerEstimate = 5
/** Samples that a target needs to count for {@link RelativeTimes.areUnequal}, and to be judged by its own estimate. */
const minimumSamples = 8
/**
 * Time after a target's first answer in which its answers do not count. The requests that a target gets when it joins a full fleet come at once and open its
 * connections, so that all of them take longer for the same reason.
 */
const warmUpMilliseconds = 1_000
/** Age of a slow target's latest sample from which the target may have become faster unnoticed. */
const doubtfulAgeMilliseconds = 1_000
/** Samples in a row beyond {@link changeLogRatio} that show a change. Of 100 answers 15 take 2.5 times as long: 5 in a row are one series in 13,000. */
const changeSamples = 5
const changeLogRatio = Math.log(2)
/** Ratio between the ninetieth and the tenth percentile of the targets from which their speeds differ. */
const unequalLogRatio = Math.log(1.5)
/** Variance of a median in units of that of a mean, and distance of the tenth and ninetieth percentile in standard deviations: both of normal values. */
const medianVariance = Math.PI / 2
const percentileDistance = 2.56
/** Standard deviation in units of the mean deviation, and weight of a new sample in the latter. */
const standardDeviationRatio = 1.25
const deviationWeight = 0.01
/** With a margin of 1, prompts whose lengths have a logarithmic deviation of 0.7 to 0.9 made 3 equal targets look unequal in 3% of the time. */
const chanceMargin = 1.3
const lowShare = 0.1
const highShare = 0.9
/** Weight of the samples so far in a usual time, in new samples: enough to average, and few enough to follow the load. */
const maximumUsualWeight = 100
/** Samples by which an estimate from few samples is drawn to the mean of all targets. */
const priorSamples = 2
/** Time for which a summary of all targets is used. */
const summaryMilliseconds = 250
/** Share of a decaying sum that is left after each further sample, and the variance with which the sums begin, which stands for no effect of the load. */
const sumDecay = 0.9995
const priorVariance = 20
/** Greatest logarithm of a ratio that counts as an effect of the load; answers that are slow for other reasons differ by more. */
const maximumLoadEffect = 0.5
/** Samples of a target over which its means go. */
const maximumMeansWeight = 50
/** Shortest time that counts, since clocks tell whole milliseconds. */
const minimumTime = 0.5

/** Separates the time that answers take into what is due to the load and what is due to the target. Holds for one service and one kind of time. */
export class RelativeTimes {
  readonly #targets = new Map<string, TargetTimes>()
  readonly #usual = new Map<string, UsualTime>()
  /** Mean of the absolute differences of samples from the estimates of their targets; null before the first. */
  #deviation: number | null = null
  #summary: Summary = { at: -Infinity, centre: 0, areUnequal: false }

  /**
   * Records the time that an answer took.
   *
   * @param group name of the kind of work
   * @param slotsInUse slots of the target that were in use, this one included
   * @param milliseconds ignored if it is not a finite number from 0 on
   */
  record (target: TimedTarget, group: string, slotsInUse: number, milliseconds: number, now: number): void {
    if (!Number.isFinite(milliseconds) || milliseconds < 0) {
      return
    }
    const times = this.#timesOf(target, now)
    // The wall clock may have been set back.
    if (Math.abs(now - times.since) < warmUpMilliseconds) {
      return
    }
    const sample = { at: now, group, slotsInUse, logTime: Math.log(Math.max(minimumTime, milliseconds)) }
    const known = times.samples.length === 0 ? this.#summary.centre : times.estimate
    this.#learnUsual(sample, times, known)
    const deviation = this.#excessOf(sample) - known
    this.#deviation ??= Math.abs(deviation)
    this.#deviation += deviationWeight * (Math.abs(deviation) - this.#deviation)
    const direction = Math.abs(deviation) > changeLogRatio ? Math.sign(deviation) : 0
    times.deviating = direction !== 0 && direction === Math.sign(times.deviating) ? times.deviating + direction : direction
    times.samples.push(sample)
    if (Math.abs(times.deviating) >= changeSamples) {
      times.samples = times.samples.slice(-changeSamples)
      times.deviating = 0
    }
    times.samples = times.samples.filter(({ at }) => now - at <= maximumAgeMilliseconds).slice(-maximumSamples)
    times.unused += 1
    // An estimate takes about 8 µs, more than all else that an answer costs.
    if (times.samples.length < promptSamples || times.unused >= samplesPerEstimate) {
      times.unused = 0
      this.#estimate(times, now)
    }
  }

  /** Whether the speeds of the targets with enough samples differ by half or more, beyond what chance makes them differ. */
  areUnequal (now: number): boolean {
    return this.#summaryAt(now).areUnequal
  }

  /** Returns the target's time relative to the mean of all targets: 2 for one that takes twice as long, 1 if that is unknown. */
  factorOf (target: Pick<TimedTarget, 'id' | 'born'>, now: number): number {
    const times = this.#knownTimesOf(target, now)
    return times === null ? 1 : Math.exp(times.estimate - this.#summaryAt(now).centre)
  }

  /** Whether a target may be faster than its estimate, which is above the mean: its latest sample is old, or shorter than expected by more than twice. */
  isDoubtful (target: Pick<TimedTarget, 'id' | 'born'>, now: number): boolean {
    const times = this.#knownTimesOf(target, now)
    if (times === null || times.estimate <= this.#summaryAt(now).centre) {
      return false
    }
    return this.isContradicted(target, now) || now - (times.samples.at(-1)?.at ?? now) >= doubtfulAgeMilliseconds
  }

  /** Whether the latest sample of a target is shorter than its estimate by more than twice. */
  isContradicted (target: Pick<TimedTarget, 'id' | 'born'>, now: number): boolean {
    return (this.#knownTimesOf(target, now)?.deviating ?? 0) < 0
  }

  /** Returns the milliseconds that work of a kind takes on a target of the mean speed; null if no answer has told. */
  usualTime (group: string, slotsInUse: number, now: number): number | null {
    const usual = this.#usual.get(group)
    return usual === undefined ? null : Math.exp(logTimeOf(usual, slotsInUse) + this.#summaryAt(now).centre)
  }

  /** Returns the milliseconds by which each further slot in use makes the work take longer, on a target of the mean speed with this many slots. */
  increasePerSlot (group: string, slots: number, now: number): number {
    const one = this.usualTime(group, 1, now) ?? 0
    const all = this.usualTime(group, slots, now) ?? 0
    return slots < 2 ? 0 : (all - one) / (slots - 1)
  }

  /** Returns the number of samples of a target that count. */
  samplesOf (target: Pick<TimedTarget, 'id' | 'born'>, now: number): number {
    const times = this.#targets.get(target.id)
    return times?.born === target.born ? times.samples.filter(({ at }) => now - at <= maximumAgeMilliseconds).length : 0
  }

  /** Forgets the targets that are not in the list, or have started again or with another version since. */
  retainTargets (targets: readonly TimedTarget[]): void {
    const listed = new Map(targets.map(target => [target.id, target]))
    for (const [id, { born, softwareVersion }] of this.#targets) {
      const target = listed.get(id)
      if (target?.born !== born || target.softwareVersion !== softwareVersion) {
        this.#targets.delete(id)
      }
    }
  }

  #timesOf ({ id, born, softwareVersion }: TimedTarget, now: number): TargetTimes {
    const known = this.#targets.get(id)
    if (known?.born === born && known.softwareVersion === softwareVersion) {
      return known
    }
    const times = { born, softwareVersion, since: now, samples: [], means: new Map<string, TargetMeans>(), estimate: 0, unused: 0, variance: 1, deviating: 0 }
    this.#targets.set(id, times)
    return times
  }

  #knownTimesOf ({ id, born }: Pick<TimedTarget, 'id' | 'born'>, now: number): TargetTimes | null {
    const times = this.#targets.get(id)
    const latest = times?.samples.at(-1)?.at ?? -Infinity
    const isKnown = times?.born === born && times.samples.length >= minimumSamples && now - latest <= maximumAgeMilliseconds
    return isKnown ? times : null
  }

  /**
   * The effect of the slots in use follows from answers of the same target: compared over all targets, fast ones would make a high load look harmless,
   * since they get more requests.
   */
  #learnUsual ({ group, slotsInUse, logTime, at }: TimedSample, { means }: TargetTimes, estimate: number): void {
    const usual = this.#usual.get(group) ?? { intercept: 0, weight: 0, at, covariance: 0, variance: priorVariance }
    this.#usual.set(group, usual)
    const mean = means.get(group) ?? { slotsInUse, logTime, weight: 0 }
    means.set(group, mean)
    const slotsDifference = slotsInUse - mean.slotsInUse
    const timeDifference = Math.max(-maximumLoadEffect, Math.min(maximumLoadEffect, logTime - mean.logTime))
    usual.covariance = usual.covariance * sumDecay + slotsDifference * timeDifference
    usual.variance = priorVariance + (usual.variance - priorVariance) * sumDecay + slotsDifference ** 2
    mean.weight = Math.min(maximumMeansWeight, mean.weight + 1)
    mean.slotsInUse += slotsDifference / mean.weight
    mean.logTime += (logTime - mean.logTime) / mean.weight
    // The wall clock may have been set back.
    const weight = Math.min(maximumUsualWeight, usual.weight * decay(Math.max(0, at - usual.at)))
    usual.intercept += (logTime - slopeOf(usual) * slotsInUse - estimate - usual.intercept) / (weight + 1)
    usual.weight = weight + 1
    usual.at = at
  }

  /** Returns the natural logarithm of a sample's time relative to the usual one. */
  #excessOf ({ group, slotsInUse, logTime }: TimedSample): number {
    const usual = this.#usual.get(group)
    return usual === undefined ? 0 : logTime - logTimeOf(usual, slotsInUse)
  }

  /** Estimates a target by the weighted median of what is due to it, drawn to the mean of all targets if there are few samples. */
  #estimate (times: TargetTimes, now: number): void {
    const { samples } = times
    const { centre } = this.#summary
    const weighted = samples.map(sample => ({ value: this.#excessOf(sample), weight: decay(Math.max(0, now - sample.at)) }))
    const share = samples.length / (samples.length + priorSamples)
    times.estimate = centre + (weightedMedian(weighted) - centre) * share
    const sum = weighted.reduce((total, { weight }) => total + weight, 0)
    times.variance = medianVariance * weighted.reduce((total, { weight }) => total + weight ** 2, 0) / sum ** 2
  }

  #summaryAt (now: number): Summary {
    if (Math.abs(now - this.#summary.at) < summaryMilliseconds) {
      return this.#summary
    }
    const estimates: number[] = []
    let variances = 0
    for (const [id, times] of this.#targets) {
      if (this.#knownTimesOf({ id, born: times.born }, now) !== null) {
        estimates.push(times.estimate)
        variances += times.variance
      }
    }
    estimates.sort((left, right) => left - right)
    const centre = estimates.length === 0 ? 0 : estimates.reduce((sum, estimate) => sum + estimate, 0) / estimates.length
    const difference = percentileOf(estimates, highShare) - percentileOf(estimates, lowShare)
    // Estimates of equal targets differ as well, the more the more the prompts do. Variances of independent causes add up.
    const byChance = chanceMargin * percentileDistance * standardDeviationRatio * (this.#deviation ?? 0) * Math.sqrt(variances / Math.max(1, estimates.length))
    const areUnequal = estimates.length > 1 && difference ** 2 - byChance ** 2 >= unequalLogRatio ** 2
    this.#summary = { at: now, centre, areUnequal }
    return this.#summary
  }
}

/** Returns by how much the logarithm of the time rises with each slot in use. */
function slopeOf ({ covariance, variance }: UsualTime): number {
  return Math.max(0, covariance / variance)
}

function logTimeOf (usual: UsualTime, slotsInUse: number): number {
  return usual.intercept + slopeOf(usual) * slotsInUse
}

function decay (milliseconds: number): number {
  return 2 ** (-milliseconds / halfLifeMilliseconds)
}

/** Returns the value at a share of the sorted values, by the nearest rank. */
function percentileOf (sorted: readonly number[], share: number): number {
  return sorted[Math.round(share * (sorted.length - 1))] ?? 0
}

function weightedMedian (values: Array<{ readonly value: number, readonly weight: number }>): number {
  values.sort((left, right) => left.value - right.value)
  let rest = values.reduce((sum, { weight }) => sum + weight, 0) / 2
  for (const { value, weight } of values) {
    rest -= weight
    if (rest <= 0) {
      return value
    }
  }
  return 0
}

/** Batch slots by the deadlines of their items. */
import type { GrantedSlot } from './fleet-slots.js'

/** Items whose deadlines fall into the same span are equally urgent: a tenth of the 20 s within which batch jobs are to complete. */
const dueSpanMilliseconds = 2_000
/** Number of slots among which the best is chosen, so that a choice takes about the same time in a fleet of any size. */
const maximumExamined = 24

/** Groups slots into spans of equally urgent items. */
export class DueSpans {
  readonly #spans = new Map<number, Set<GrantedSlot>>()
  #count = 0

  /** Number of slots. */
  get count (): number {
    return this.#count
  }

  add (slot: GrantedSlot): void {
    const span = dueSpanOf(slot)
    const slots = this.#spans.get(span) ?? new Set()
    this.#spans.set(span, slots)
    this.#count += slots.has(slot) ? 0 : 1
    slots.add(slot)
  }

  delete (slot: GrantedSlot): void {
    const span = dueSpanOf(slot)
    const slots = this.#spans.get(span)
    if (slots?.delete(slot) === true) {
      this.#count -= 1
      if (slots.size === 0) {
        this.#spans.delete(span)
      }
    }
  }

  /** As {@link PreemptibleSlots.select}. */
  select (isLost: (slot: GrantedSlot) => boolean, valueOf: (slot: GrantedSlot) => number | null): GrantedSlot | null {
    const spans = [...this.#spans.keys()].sort((left, right) => left - right)
    const earliest = this.#spans.get(spans[0] ?? 0) ?? new Set()
    const lost = bestOf(earliest, slot => isLost(slot) ? valueOf(slot) : null)
    if (lost !== null) {
      return lost
    }
    for (const span of spans.reverse()) {
      const best = bestOf(this.#spans.get(span) ?? new Set(), valueOf)
      if (best !== null) {
        return best
      }
    }
    return null
  }
}

/** Returns the number of the span that a deadline falls into. */
export function dueSpanOf ({ due }: Pick<GrantedSlot, 'due'>): number {
  return Math.floor(due / dueSpanMilliseconds)
}

/** Returns the slot with the greatest value among the first ones, or the first slot with a value if none of these has one. */
function bestOf (slots: ReadonlySet<GrantedSlot>, valueOf: (slot: GrantedSlot) => number | null): GrantedSlot | null {
  let best: GrantedSlot | null = null
  let bestValue = -Infinity
  let examined = 0
  for (const slot of slots) {
    const value = valueOf(slot)
    if (value !== null && value > bestValue) {
      best = slot
      bestValue = value
    }
    examined += 1
    if (examined >= maximumExamined && best !== null) {
      break
    }
  }
  return best
}

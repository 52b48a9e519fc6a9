/** Tells the other members whether this instance is cut off from targets. */
import type { TargetPaths } from '@arbutusloft/policy'
import type { Membership } from '../peers/membership.js'

/** Time for which targets must be reached directly before clients are told this instance again; an instance that reaches some targets would come and go. */
const settleMilliseconds = 1_000

/** Tells of a cut at once, and of its end once that has lasted. */
export class Detachment {
  #timer: NodeJS.Timeout | null = null

  constructor (private readonly paths: TargetPaths, private readonly membership: Pick<Membership, 'setDetached'>) {
    paths.onChange(() => { this.#update() })
  }

  close (): void {
    if (this.#timer !== null) {
      clearTimeout(this.#timer)
    }
    this.#timer = null
  }

  #update (): void {
    if (this.paths.isCutOff) {
      this.close()
      this.membership.setDetached(true)
      return
    }
    this.#timer ??= setTimeout(() => {
      this.#timer = null
      this.membership.setDetached(false)
    }, settleMilliseconds)
  }
}

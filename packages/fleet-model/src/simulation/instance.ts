/** An instance of the gateway, which asks for slots on behalf of callers and jobs. */
export interface Instance {
  readonly id: string
  readonly zone: string
}

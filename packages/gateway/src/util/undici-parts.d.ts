/** The parts of undici that have no declarations of their own: same classes as in its index. */
declare module 'undici/lib/dispatcher/pool.js' {
  import { Pool } from 'undici'
  export default Pool
}

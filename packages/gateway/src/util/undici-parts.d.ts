/** Declares an internal module of undici, which has no type declarations; it exports the same class as undici's index. */
declare module 'undici/lib/dispatcher/pool.js' {
  import { Pool } from 'undici'
  export default Pool
}

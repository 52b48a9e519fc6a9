/**
 * Imports the used parts of prom-client without its index, which loads default metrics, clusters and the push gateway as well and so
 * lengthens the start of a process: https://github.com/siimon/prom-client/blob/master/index.js
 */
/// <reference path="./prometheus-parts.d.ts" />
import Counter from 'prom-client/lib/counter.js'
import Gauge from 'prom-client/lib/gauge.js'
import Histogram from 'prom-client/lib/histogram.js'
import Registry from 'prom-client/lib/registry.js'

export { Counter, Gauge, Histogram, Registry }

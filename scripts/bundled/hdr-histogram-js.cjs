// The histograms of hdr-histogram-js without their compressed form and their logs.
'use strict'

module.exports = { build: require('hdr-histogram-js/dist/HistogramBuilder.js').build }

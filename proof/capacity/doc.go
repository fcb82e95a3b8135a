// Package capacity holds the benchmarks whose slopes docs/CAPACITY.md is worked
// out from. Each runs over at least four sizes and reports the fitted line.
package capacity

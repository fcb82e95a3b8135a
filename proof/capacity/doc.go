// Package capacity contains benchmarks of how memory, processor time and message
// sizes grow with the size of an installation. Each measures at least four sizes,
// fits a line and reports its slope, from which docs/CAPACITY.md is calculated.
// The package contains only tests.
package capacity

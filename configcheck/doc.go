// Package configcheck groups the packages that check a configuration before the operator
// sends it to the gateways:
//
//   - linter decides what in a configuration can never take effect, contradicts itself or
//     doesn't fit the settings of the gateways' VMs.
//   - comparer decides what sending a configuration would change for requests, runs and
//     customers, compared with the version in force.
//   - renderer writes what both found as text or JSON.
//
// Package platform/decoder decodes the configuration and knows its lines and keys.
package configcheck

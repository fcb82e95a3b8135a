// Package capacity groups the packages that decide how much work an upstream takes:
//
//   - speedkeeper estimates how long work takes at each upstream now, in relation to the
//     usual time, from what the upstreams report to all gateways.
//
// Package balancer uses the estimates when it weighs upstreams. Whether a request may be
// sent to an upstream at all is decided before that, by package noticekeeper.
package capacity

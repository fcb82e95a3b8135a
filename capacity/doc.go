// Package capacity groups the packages that decide how much work an upstream takes:
//
//   - speedkeeper estimates how long work takes at each upstream now, in relation to the
//     usual time, from what the upstreams report to all gateways;
//   - limitkeeper estimates how many concurrent requests an upstream handles well, from the
//     time that work takes at several levels of concurrency;
//   - roomkeeper decides whether a generation that finds no room waits in its gateway or is
//     refused, and which of those that wait is admitted next;
//   - forecaster estimates when engines have room again, and records the promises that
//     refused clients were given, by any gateway;
//   - lossforecaster estimates which upstreams are likely to be taken away, from those that
//     left lately.
//
// Package balancer uses the estimates when it weighs upstreams; limits refuse nothing. Whether
// a request may be sent to an upstream at all is decided before that, by package noticekeeper.
package capacity

// Package placement groups the packages that decide where a request may be sent at all,
// before the balancer weighs load:
//
//   - evacuationkeeper knows which availability zones the operator has ordered to be
//     evacuated, from the store or from the digests of the collector;
//   - warmupkeeper knows which upstreams are cold, and keeps this gateway to its share of
//     the rate that they accept meanwhile.
//
// Whether a request may be sent to an upstream now is answered in one place, by package
// noticekeeper, which asks these packages.
package placement

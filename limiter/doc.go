// Package limiter limits customers to weighted fair shares of engine memory.
//
// The scarce resource is engine memory over time, so a customer's usage is the
// memory that its requests in flight hold: their number times the average that
// its ended requests held. Other entries report the usage of the customers there,
// which arrives about a second late and is added.
//
// The limit on a customer's number of streams applies at all times. While more than
// a tenth of the engines' memory is free, it is the only limit, so that unused
// capacity goes to whoever requests it. Once memory is scarce, each customer is
// admitted up to its share by weighted max-min fairness. A customer's share is its
// weight times the level, which is the highest number at which the sum over all
// customers of min(demand, weight * level) fits the capacity. A customer that
// demands less than its share is therefore never refused because others demand more.
//
// Two kinds of requests are admitted beyond the share: those of a customer that holds
// no memory, and those that come at the time that an earlier refusal promised.
package limiter

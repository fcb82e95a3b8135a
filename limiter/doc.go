// Package limiter limits customers to weighted fair shares of engine memory.
//
// The scarce resource is engine memory over time, so a customer's usage is the
// memory that its requests in flight hold: their number times the average that
// its ended requests held. Other entries report their usage, which arrives about
// a second late and is added.
//
// While more than a tenth of the engines' memory is free, all customers are
// admitted, so that unused capacity goes to whoever requests it. Once memory is
// scarce, each customer is admitted up to its share by weighted max-min fairness.
// The level is the highest one at which the sum over all customers of
// min(demand, weight * level) fits the capacity. A customer that demands less
// than its share is therefore never refused because others demand more.
package limiter

// Package limiter holds customers to weighted fair shares of engine memory.
//
// What is scarce is engine memory over time, so a customer's use is the memory
// that its requests in flight hold: their number times what its requests held
// on average, learnt from those that ended. Use at other entries comes by
// exchange, about a second late, and is added.
//
// While a tenth of the engines' memory is free, everyone is admitted: unused
// capacity goes to whoever asks. Once it is scarce, a customer is admitted up to
// its share by max-min fairness: the highest level such that the sum over all
// customers of the lesser of what each wants and its weight times the level
// fits the capacity. A customer that wants less than its share is therefore
// never refused because others want more.
package limiter

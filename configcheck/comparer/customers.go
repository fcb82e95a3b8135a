package comparer

import (
	"fmt"

	"github.com/currantwood/currantwood"
)

// compareCustomers tells which keys are taken away, new or another customer's, and what
// changes for the customers that stay. It never prints a key.
func (c *comparison) compareCustomers() {
	before, after := customerIndexes(c.before), customerIndexes(c.after)
	added, withdrawn, moved := c.countKeys()
	for i, customer := range c.after.Customers {
		if after[customer.ID] != i { // a later entry has the same name
			continue
		}
		at := c.after.at(currantwood.FieldCustomerKeys, i)
		if n := added[customer.ID]; n > 0 {
			c.add(APIKeysNew, at, "requests with %s count as those of customer %q", count(n, "new key"), customer.ID)
		}
		if n := moved[customer.ID]; n > 0 {
			c.add(APIKeysMoved, at, "requests with %s of other customers count as those of customer %q", count(n, "former key"), customer.ID)
		}
		if former, known := before[customer.ID]; known {
			c.compareCustomer(i, c.before.Customers[former].Holder, customer.Holder)
		}
	}
	for i, customer := range c.before.Customers {
		if before[customer.ID] != i {
			continue
		}
		at, listed := c.before.at(currantwood.FieldCustomer, i), ", which isn't listed any more,"
		if left, known := after[customer.ID]; known {
			at, listed = c.after.at(currantwood.FieldCustomerKeys, left), ""
		}
		if n := withdrawn[customer.ID]; n > 0 {
			c.add(APIKeysWithdrawn, at, "requests with %s of customer %q%s are refused, but for those of anonymous routes", count(n, "key"), customer.ID, listed)
		}
	}
}

// customerIndexes returns the index of each customer; that of the last entry if several have
// one name.
func customerIndexes(s *side) map[currantwood.CustomerID]int {
	indexes := make(map[currantwood.CustomerID]int, len(s.Customers))
	for i, customer := range s.Customers {
		indexes[customer.ID] = i
	}
	return indexes
}

// keyCounts holds a number of keys for each customer.
type keyCounts map[currantwood.CustomerID]int

// countKeys counts the keys that each customer gets, loses, or takes over from another
// customer. It asks the holders that gateways know.
func (c *comparison) countKeys() (added, withdrawn, moved keyCounts) {
	added, withdrawn, moved = keyCounts{}, keyCounts{}, keyCounts{}
	for key, holder := range c.after.Keys {
		former, known := c.before.Keys[key]
		switch {
		case !known:
			added[holder.Customer]++
		case former.Customer != holder.Customer:
			moved[holder.Customer]++
		}
	}
	for key, holder := range c.before.Keys {
		if _, known := c.after.Keys[key]; !known {
			withdrawn[holder.Customer]++
		}
	}
	return added, withdrawn, moved
}

func count(n int, what string) string {
	if n == 1 {
		return "1 " + what
	}
	return fmt.Sprintf("%d %ss", n, what)
}

// compareCustomer tells what changes for a customer in both documents. i is its index in
// the new one.
func (c *comparison) compareCustomer(i int, before, after currantwood.KeyHolder) {
	requests := fmt.Sprintf("requests of customer %q", after.Customer)
	c.compareRegions(requests, c.after.at(currantwood.FieldCustomerRegions, i), before.Regions, after.Regions)
	at := c.after.at(currantwood.FieldCustomer, i)
	switch {
	case before.HasPriority && !after.HasPriority:
		c.add(CustomerPriority, at, "%s have the priority of their route, no longer their customer's", requests)
	case !before.HasPriority && after.HasPriority:
		c.add(CustomerPriority, at, "%s have their customer's priority, no longer that of their route", requests)
	case before.Priority < after.Priority:
		c.add(CustomerPriority, at, "%s are more urgent than before", requests)
	case before.Priority > after.Priority:
		c.add(CustomerPriority, at, "%s are less urgent than before", requests)
	}
}

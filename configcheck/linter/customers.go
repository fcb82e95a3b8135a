package linter

import (
	"strings"

	"github.com/currantwood/currantwood"
)

// checkCustomers reports the customers and API keys with which no request is accepted.
func (c *check) checkCustomers() {
	// Of the customers with one key, the last one counts, as in the decoder.
	last := make(map[string]int)
	for i, customer := range c.document.Customers {
		for _, key := range customer.Keys {
			last[key] = i
		}
	}
	for i, customer := range c.document.Customers {
		// A shared key counts as usable: its own finding says enough.
		usable := 0
		for part, key := range customer.Keys {
			place := currantwood.ConfigurationPlace{Field: currantwood.FieldCustomerKey, Index: i, Part: part}
			switch winner := last[key]; {
			case key == "": // checkDocument reports it
			case winner != i:
				usable++
				c.add(APIKeyShared, place, "customer %q (line %d) has the same key: requests with it count as that customer's, not as those of %q",
					c.document.Customers[winner].ID, c.document.Locate(at(currantwood.FieldCustomer, winner)).Line, customer.ID)
			case !sendable(key):
				c.add(APIKeyNotSendable, place, "no header can carry this key of customer %q: it has a control character, or a space at an end", customer.ID)
			default:
				usable++
			}
		}
		if usable == 0 {
			c.add(CustomerWithoutAPIKey, at(currantwood.FieldCustomerKeys, i), "customer %q has no key with which a request could be its own", customer.ID)
		}
	}
	c.checkNoKeys()
}

// sendable reports whether a value arrives unchanged in an HTTP header. net/http trims
// spaces and tabs, and refuses control characters.
func sendable(key string) bool {
	control := func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }
	return strings.Trim(key, " \t") == key && !strings.ContainsFunc(key, control)
}

// checkNoKeys reports that keys are required although there is none.
func (c *check) checkNoKeys() {
	if !c.document.RequiresKeys || len(c.document.Keys) > 0 {
		return
	}
	refusing := 0
	for _, route := range c.document.Routes {
		if !route.Anonymous {
			refusing++
		}
	}
	if refusing > 0 {
		c.add(NoAPIKeys, at(currantwood.FieldCustomers, 0), "requests need a key, but there is none: %d routes refuse every request", refusing)
	}
}

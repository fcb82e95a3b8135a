package linter

import (
	"fmt"
	"slices"
	"strings"

	"github.com/currantwood/currantwood"
)

// maxNames bounds the customers that one message names.
const maxNames = 3

// checkRegions reports the lists of regions that admit too little or name unknown regions.
func (c *check) checkRegions() {
	known := c.knownRegions()
	for i, route := range c.document.Routes {
		c.checkRegionList(at(currantwood.FieldRouteRegions, i), route.Regions, known)
	}
	for i, customer := range c.document.Customers {
		c.checkRegionList(at(currantwood.FieldCustomerRegions, i), customer.Holder.Regions, known)
	}
	c.checkDisjointRegions()
}

// knownRegions returns the regions of all availability zones; nil if the settings don't
// name any.
func (c *check) knownRegions() map[currantwood.RegionID]bool {
	if c.Settings == nil || len(c.Settings.Regions) == 0 {
		return nil
	}
	known := make(map[currantwood.RegionID]bool)
	for _, region := range c.Settings.Regions {
		known[region] = true
	}
	return known
}

func (c *check) checkRegionList(place currantwood.ConfigurationPlace, regions currantwood.RegionSet, known map[currantwood.RegionID]bool) {
	if regions.IsEmpty() {
		c.add(RegionsMalformed, place, "this isn't a list of region names: no region is allowed")
	}
	if known == nil {
		return
	}
	for _, id := range regions.IDs() {
		if !known[id] {
			c.add(RegionUnknown, place, "no availability zone of the settings is in region %q", id)
		}
	}
}

// regionCustomers are the customers with one set of regions.
type regionCustomers struct {
	regions currantwood.RegionSet
	// indexes are those of the customers in the document.
	indexes []int
	// admitted is whether a route has a region in common with them.
	admitted bool
}

// customersByRegions groups the customers by their regions, in the order of the document,
// so that each route is compared with each set only once. It leaves out malformed sets,
// which have findings of their own.
func (c *check) customersByRegions() []*regionCustomers {
	var sets []*regionCustomers
	byText := make(map[string]*regionCustomers)
	for i, customer := range c.document.Customers {
		regions := customer.Holder.Regions
		if regions.IsEmpty() {
			continue
		}
		text := regionsText(regions)
		if byText[text] == nil {
			byText[text] = &regionCustomers{regions: regions}
			sets = append(sets, byText[text])
		}
		byText[text].indexes = append(byText[text].indexes, i)
	}
	return sets
}

// checkDisjointRegions reports the customers that have no region in common with any route,
// and of the others, those that have none in common with one route.
func (c *check) checkDisjointRegions() {
	sets := c.customersByRegions()
	for _, set := range sets {
		set.admitted = slices.ContainsFunc(c.document.Routes, func(route currantwood.Route) bool {
			return !route.Regions.Intersect(set.regions).IsEmpty()
		})
		if set.admitted || len(c.document.Routes) == 0 {
			continue
		}
		for _, i := range set.indexes {
			c.add(CustomerNotAdmitted, at(currantwood.FieldCustomer, i), "no route allows a region of customer %q (%s): all its requests are refused", c.document.Customers[i].ID, set.regions)
		}
	}
	// Most routes share their regions with others.
	excludedBy := make(map[string]string)
	for i, route := range c.document.Routes {
		if route.Regions.IsEmpty() || route.Regions.IsAny() {
			continue
		}
		text := regionsText(route.Regions)
		excluded, known := excludedBy[text]
		if !known {
			excluded = c.customersOutside(sets, route.Regions)
			excludedBy[text] = excluded
		}
		if excluded != "" {
			c.add(RegionsDisjoint, at(currantwood.FieldRouteRegions, i), "the regions of route %q (%s) have none in common with those of %s, whose requests are refused",
				route.ID, route.Regions, excluded)
		}
	}
}

// customersOutside names the customers that have no region in common with a route but do
// with another; empty if there are none.
func (c *check) customersOutside(sets []*regionCustomers, regions currantwood.RegionSet) string {
	var indexes []int
	for _, set := range sets {
		if set.admitted && regions.Intersect(set.regions).IsEmpty() {
			indexes = append(indexes, set.indexes...)
		}
	}
	if len(indexes) == 0 {
		return ""
	}
	return c.customerNames(indexes)
}

// regionsText returns a text that differs between any two sets, whatever the names of
// their regions.
func regionsText(regions currantwood.RegionSet) string {
	return fmt.Sprintf("%t %q", regions.IsAny(), regions.IDs())
}

// customerNames names a few customers and counts the others.
func (c *check) customerNames(indexes []int) string {
	var names []string
	for _, i := range indexes[:min(maxNames, len(indexes))] {
		names = append(names, fmt.Sprintf("%q (%s)", c.document.Customers[i].ID, c.document.Customers[i].Holder.Regions))
	}
	text := "customer " + strings.Join(names, ", ")
	if others := len(indexes) - len(names); others > 0 {
		text += fmt.Sprintf(" and %d more", others)
	}
	return text
}

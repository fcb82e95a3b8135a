package sites_test

import (
	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/matcher"
	"github.com/currantwood/currantwood/parser"
	"github.com/currantwood/currantwood/printer"
	"github.com/currantwood/currantwood/standin/sites"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = DescribeTable("an installation's rules are canonical, list the keys' customers in the same order and name only the installation's groups",
	func(site sites.Site) {
		rules, err := parser.Parse(site.Rules)
		Expect(err).NotTo(HaveOccurred())
		Expect(printer.Format(site.Rules)).To(Equal(site.Rules))
		index := matcher.New(rules)
		Expect(site.Keys).To(HaveLen(len(rules.Customers)))
		for i, key := range site.Keys {
			customer, ok := index.CustomerByAPIKey(key.Key)
			Expect(ok).To(BeTrue())
			Expect(customer.ID).To(Equal(key.Customer))
			Expect(customer.ID).To(Equal(rules.Customers[i].ID))
		}
		groups := map[currantwood.GroupID]bool{}
		for _, upstreams := range site.Upstreams {
			groups[upstreams.Group] = true
		}
		for _, rule := range rules.Rules {
			Expect(groups).To(HaveKey(rule.Group))
		}
	},
	Entry("Harbourline", sites.Harbourline()),
	Entry("Cooperative", sites.Cooperative()),
)

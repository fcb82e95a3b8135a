package matcher_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/matcher"
	"github.com/currantwood/currantwood/parser"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// rulesText declares a customer whose API key is "hello".
const rulesText = `
customer big key-hash=2cf24dba5fb0a30e26e83b2ac5b9e29e1b161e5c1fa7425e73043362938b9824 # asked-by Ann
rule any-get method=GET path=/a/* group=g class=lookup repeatable=yes deadline=1s # asked-by Ann
rule exact path=/a/b group=g class=lookup repeatable=yes deadline=1s # asked-by Ann
rule own customer=big path=/a* group=g class=lookup repeatable=yes deadline=1s # asked-by Ann
rule model path=/v1 model=m group=g class=stream repeatable=yes deadline=1s # asked-by Ann
rule all path=/* group=g class=lookup repeatable=yes deadline=1s # asked-by Ann
`

var _ = Describe("Matcher", func() {
	rules, err := parser.Parse(rulesText)
	index := matcher.New(rules)

	DescribeTable("Match", func(request matcher.Request, want string) {
		Expect(err).NotTo(HaveOccurred())
		rule, ok := index.Match(request)
		Expect(ok).To(Equal(want != ""))
		Expect(string(rule.ID)).To(Equal(want))
	},
		Entry("chooses the first of several matching rules", matcher.Request{Customer: "big", Method: "GET", Path: "/a/b"}, "any-get"),
		Entry("skips a rule for another method", matcher.Request{Customer: "big", Method: "PUT", Path: "/a/b"}, "exact"),
		Entry("matches a rule for the customer", matcher.Request{Customer: "big", Method: "PUT", Path: "/a/c"}, "own"),
		Entry("skips a rule for another customer", matcher.Request{Customer: "x", Method: "PUT", Path: "/a/c"}, "all"),
		Entry("matches a path that equals a prefix", matcher.Request{Method: "GET", Path: "/a/"}, "any-get"),
		Entry("matches a rule for the model", matcher.Request{Path: "/v1", Model: "m"}, "model"),
		Entry("skips a rule for another model", matcher.Request{Path: "/v1", Model: "n"}, "all"),
		Entry("rejects dot segments", matcher.Request{Method: "GET", Path: "/a/../v1"}, ""),
		Entry("rejects empty segments", matcher.Request{Method: "GET", Path: "//a"}, ""),
		Entry("rejects an empty path", matcher.Request{Method: "GET"}, ""),
	)

	It("finds a customer by API key and rejects an unknown key", func() {
		customer, ok := index.CustomerByAPIKey("hello")
		Expect(ok).To(BeTrue())
		Expect(customer.ID).To(Equal(currantwood.CustomerID("big")))
		_, ok = index.CustomerByAPIKey("hullo")
		Expect(ok).To(BeFalse())
	})

	It("agrees with a linear search", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			rules := currantwood.Rules{Rules: rapid.SliceOfN(rapid.Custom(drawRule), 0, 12).Draw(t, "rules")}
			request := matcher.Request{
				Customer: rapid.SampledFrom([]currantwood.CustomerID{"a", "b"}).Draw(t, "customer"),
				Method:   rapid.SampledFrom([]string{"GET", "PUT"}).Draw(t, "method"),
				Path:     rapid.SampledFrom([]string{"/", "/a", "/ab", "/a/b"}).Draw(t, "path"),
				Model:    rapid.SampledFrom([]currantwood.ModelID{"", "m"}).Draw(t, "model"),
			}
			want, wantOK := linearSearch(rules, request)
			got, ok := matcher.New(rules).Match(request)
			if ok != wantOK || got != want {
				t.Fatalf("got %v %v, want %v %v", got, ok, want, wantOK)
			}
		})
	})
})

func drawRule(t *rapid.T) currantwood.Rule {
	return currantwood.Rule{
		ID:       currantwood.RuleID(rapid.StringN(1, 8, 8).Draw(t, "id")),
		Customer: rapid.SampledFrom([]currantwood.CustomerID{"", "a", "b"}).Draw(t, "customer"),
		Method:   rapid.SampledFrom([]string{"", "GET", "PUT"}).Draw(t, "method"),
		Path:     rapid.SampledFrom([]string{"/", "/*", "/a", "/a*", "/ab", "/a/*"}).Draw(t, "path"),
		Model:    rapid.SampledFrom([]currantwood.ModelID{"", "m"}).Draw(t, "model"),
	}
}

func linearSearch(rules currantwood.Rules, request matcher.Request) (currantwood.Rule, bool) {
	for _, rule := range rules.Rules {
		prefix, isPrefix := strings.CutSuffix(rule.Path, "*")
		path := rule.Path == request.Path || (isPrefix && strings.HasPrefix(request.Path, prefix))
		customer := rule.Customer == "" || rule.Customer == request.Customer
		method := rule.Method == "" || rule.Method == request.Method
		model := rule.Model == "" || rule.Model == request.Model
		if path && customer && method && model {
			return rule, true
		}
	}
	return currantwood.Rule{}, false
}

// largeRulesText returns a rules text of 10,000 lines, the size that the system is
// designed for: 9,500 customers and 500 rules.
func largeRulesText() string {
	var b strings.Builder
	for i := range 9500 {
		fmt.Fprintf(&b, "customer c%d key-hash=%s weight=2 max-streams=40 # asked-by Ann: load test\n", i, matcher.HashAPIKey(fmt.Sprint(i)))
	}
	for i := range 500 {
		fmt.Fprintf(&b, "rule r%d customer=c%d method=POST path=/v1/completions model=m group=g class=stream repeatable=yes priority=5 deadline=10m # asked-by Ann: load test\n", i, i)
	}
	return b.String()
}

// BenchmarkParseAndIndexMostlyCustomers measures the time to parse a rules text of
// 10,000 lines, mostly customers, and to build a Matcher.
func BenchmarkParseAndIndexMostlyCustomers(b *testing.B) {
	text := largeRulesText()
	for b.Loop() {
		rules, err := parser.Parse(text)
		if err != nil {
			b.Fatal(err)
		}
		matcher.New(rules)
	}
}

// BenchmarkParseAndIndexRulesOnly is BenchmarkParseAndIndexMostlyCustomers with 10,000
// rules and no customers.
func BenchmarkParseAndIndexRulesOnly(b *testing.B) {
	var text strings.Builder
	for i := range 10000 {
		fmt.Fprintf(&text, "rule r%d method=POST path=/v1/p%d/* model=m group=g class=stream repeatable=yes priority=5 deadline=10m # asked-by Ann: load test\n", i, i)
	}
	for b.Loop() {
		rules, err := parser.Parse(text.String())
		if err != nil {
			b.Fatal(err)
		}
		matcher.New(rules)
	}
}

func BenchmarkMatch(b *testing.B) {
	rules, err := parser.Parse(largeRulesText())
	if err != nil {
		b.Fatal(err)
	}
	index := matcher.New(rules)
	request := matcher.Request{Customer: "c499", Method: "POST", Path: "/v1/completions", Model: "m"}
	for b.Loop() {
		index.Match(request)
	}
}

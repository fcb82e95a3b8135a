package settingsreader_test

import (
	"os"
	"reflect"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pelletier/go-toml/v2"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/settingsreader"
)

const documented = "../docs/settings.toml"

const minimal = `process = "e"
vm = "v"
region = "r"
zone = "z"
[platform]
log-service = "http://127.0.0.1:1"
vm-list = "http://127.0.0.1:2"
`

var _ = Describe("Reader", func() {
	It("reads the documented file for both roles", func() {
		for _, role := range []currantwood.Role{currantwood.RoleEntry, currantwood.RoleSide} {
			_, err := settingsreader.New(role).Read(documented, nil)
			Expect(err).NotTo(HaveOccurred())
		}
	})

	It("documents every key", func() {
		text, err := os.ReadFile(documented)
		Expect(err).NotTo(HaveOccurred())
		var tree map[string]any
		Expect(toml.Unmarshal(text, &tree)).To(Succeed())
		expectKeys(reflect.TypeFor[settingsreader.Settings](), tree)
	})

	It("documents the defaults", func() {
		defaults, err := settingsreader.New(currantwood.RoleEntry).Parse("f", []byte(minimal), nil)
		Expect(err).NotTo(HaveOccurred())
		shown, err := settingsreader.New(currantwood.RoleEntry).Read(documented, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(shown.Links).To(Equal(defaults.Links))
		Expect(shown.Shutdown).To(Equal(defaults.Shutdown))
		Expect(shown.Entry).To(Equal(defaults.Entry))
		Expect(shown.Listen).To(Equal(defaults.Listen))
		Expect(shown.Platform.VMListInterval).To(Equal(defaults.Platform.VMListInterval))
		Expect(shown.Platform.LogRetention).To(Equal(defaults.Platform.LogRetention))
		Expect(shown.Side.Confidence).To(Equal(defaults.Side.Confidence))
		Expect(shown.Side.ReservedShare).To(Equal(defaults.Side.ReservedShare))
	})

	DescribeTable("refuses with file, line, key and what was expected",
		func(text, expected string) {
			_, err := settingsreader.New(currantwood.RoleEntry).Parse("f.toml", []byte(text), nil)
			Expect(err).To(MatchError(ContainSubstring(expected)))
		},
		Entry("unknown key", minimal+"colour = 1\n", "f.toml:8: platform.colour: unknown key"),
		Entry("wrong type", minimal+"[entry]\nmax-body-bytes = \"x\"\n", "f.toml:9:"),
		Entry("bad duration", minimal+"[links]\nheartbeat = \"fast\"\n", "f.toml:9"),
		Entry("impossible value", minimal+"[links]\nheartbeat = \"2s\"\nsilence = \"3s\"\n", "f.toml:10: links.silence: expected more than twice"),
		Entry("missing value", strings.Replace(minimal, `zone = "z"`, "", 1), "zone: expected the availability zone's name"),
		Entry("not TOML", "process = \n", "f.toml:1"),
	)

	It("lets flags go before the file", func() {
		s, err := settingsreader.New(currantwood.RoleEntry).Parse("f", []byte(minimal), func(s *settingsreader.Settings) { s.Zone = "other" })
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Zone).To(Equal("other"))
	})
})

// expectKeys checks that tree holds each key of a settings struct.
func expectKeys(of reflect.Type, tree map[string]any) {
	for i := range of.NumField() {
		key := of.Field(i).Tag.Get("toml")
		Expect(tree).To(HaveKey(key))
		switch inner := tree[key].(type) {
		case map[string]any:
			expectKeys(of.Field(i).Type, inner)
		case []any:
			expectKeys(of.Field(i).Type.Elem(), inner[0].(map[string]any))
		}
	}
}

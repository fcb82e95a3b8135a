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

// documentationFile documents every key, with its default if it has one.
const documentationFile = "../docs/settings.toml"

// minimalText holds only the keys that an entry requires.
const minimalText = `process = "e"
vm = "v"
region = "r"
zone = "z"
[platform]
log-service = "http://127.0.0.1:1"
vm-list = "http://127.0.0.1:2"
`

var _ = Describe("docs/settings.toml", func() {
	It("is valid for both roles", func() {
		for _, role := range []currantwood.Role{currantwood.RoleEntry, currantwood.RoleSide} {
			_, err := settingsreader.New(role).Read(documentationFile, nil)
			Expect(err).NotTo(HaveOccurred())
		}
	})

	It("has every key of Settings", func() {
		text, err := os.ReadFile(documentationFile)
		Expect(err).NotTo(HaveOccurred())
		var tree map[string]any
		Expect(toml.Unmarshal(text, &tree)).To(Succeed())
		expectKeys(reflect.TypeFor[settingsreader.Settings](), tree)
	})

	It("has the defaults of links, shutdown, entry, listen, the platform's durations and the side's shares", func() {
		defaults, err := settingsreader.New(currantwood.RoleEntry).Parse("f", []byte(minimalText), nil)
		Expect(err).NotTo(HaveOccurred())
		documented, err := settingsreader.New(currantwood.RoleEntry).Read(documentationFile, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(documented.Links).To(Equal(defaults.Links))
		Expect(documented.Shutdown).To(Equal(defaults.Shutdown))
		Expect(documented.Entry).To(Equal(defaults.Entry))
		Expect(documented.Listen).To(Equal(defaults.Listen))
		Expect(documented.Platform.VMListInterval).To(Equal(defaults.Platform.VMListInterval))
		Expect(documented.Platform.LogRetention).To(Equal(defaults.Platform.LogRetention))
		Expect(documented.Side.Confidence).To(Equal(defaults.Side.Confidence))
		Expect(documented.Side.ReservedShare).To(Equal(defaults.Side.ReservedShare))
	})
})

var _ = Describe("Reader", func() {
	DescribeTable("reports the problem with its line or key",
		func(text, expected string) {
			_, err := settingsreader.New(currantwood.RoleEntry).Parse("f.toml", []byte(text), nil)
			Expect(err).To(MatchError(ContainSubstring(expected)))
		},
		Entry("unknown key", minimalText+"colour = 1\n", "f.toml:8: platform.colour: unknown key"),
		Entry("value of the wrong type", minimalText+"[entry]\nmax-body-bytes = \"x\"\n", "f.toml:9:"),
		Entry("invalid duration", minimalText+"[links]\nheartbeat = \"fast\"\n", "f.toml:9"),
		Entry("value out of range", minimalText+"[links]\nheartbeat = \"2s\"\nsilence = \"3s\"\n", "f.toml:10: links.silence: expected more than twice"),
		Entry("missing value", strings.Replace(minimalText, `zone = "z"`, "", 1), "zone: expected the availability zone's name"),
		Entry("syntax error", "process = \n", "f.toml:1"),
	)

	It("lets the override change values before they are validated", func() {
		s, err := settingsreader.New(currantwood.RoleEntry).Parse("f", []byte(minimalText), func(s *settingsreader.Settings) { s.Zone = "other" })
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Zone).To(Equal("other"))
	})
})

// expectKeys expects tree to contain the TOML key of each field of a struct type,
// nested structs included.
func expectKeys(structType reflect.Type, tree map[string]any) {
	for i := range structType.NumField() {
		key := structType.Field(i).Tag.Get("toml")
		Expect(tree).To(HaveKey(key))
		switch inner := tree[key].(type) {
		case map[string]any:
			expectKeys(structType.Field(i).Type, inner)
		case []any:
			expectKeys(structType.Field(i).Type.Elem(), inner[0].(map[string]any))
		}
	}
}

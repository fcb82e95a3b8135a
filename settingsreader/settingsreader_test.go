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

// documentedFile documents every key with its default.
const documentedFile = "../docs/settings.toml"

// minimalText holds only the keys that an entry requires.
const minimalText = `process = "e"
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
			_, err := settingsreader.New(role).Read(documentedFile, nil)
			Expect(err).NotTo(HaveOccurred())
		}
	})

	It("finds every key in the documented file", func() {
		text, err := os.ReadFile(documentedFile)
		Expect(err).NotTo(HaveOccurred())
		var tree map[string]any
		Expect(toml.Unmarshal(text, &tree)).To(Succeed())
		expectKeys(reflect.TypeFor[settingsreader.Settings](), tree)
	})

	It("finds the defaults in the documented file", func() {
		defaults, err := settingsreader.New(currantwood.RoleEntry).Parse("f", []byte(minimalText), nil)
		Expect(err).NotTo(HaveOccurred())
		documented, err := settingsreader.New(currantwood.RoleEntry).Read(documentedFile, nil)
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

	DescribeTable("reports file, line, key and expected value",
		func(text, expected string) {
			_, err := settingsreader.New(currantwood.RoleEntry).Parse("f.toml", []byte(text), nil)
			Expect(err).To(MatchError(ContainSubstring(expected)))
		},
		Entry("of an unknown key", minimalText+"colour = 1\n", "f.toml:8: platform.colour: unknown key"),
		Entry("of a value of the wrong type", minimalText+"[entry]\nmax-body-bytes = \"x\"\n", "f.toml:9:"),
		Entry("of an invalid duration", minimalText+"[links]\nheartbeat = \"fast\"\n", "f.toml:9"),
		Entry("of a value out of range", minimalText+"[links]\nheartbeat = \"2s\"\nsilence = \"3s\"\n", "f.toml:10: links.silence: expected more than twice"),
		Entry("of a missing value", strings.Replace(minimalText, `zone = "z"`, "", 1), "zone: expected the availability zone's name"),
		Entry("of a syntax error", "process = \n", "f.toml:1"),
	)

	It("lets the override replace values of the file", func() {
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

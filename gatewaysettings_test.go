package currantwood

import (
	"testing"

	. "github.com/onsi/gomega"
)

// TestMinGateways guards against a gateway of a large fleet that takes its seeds for all
// others, and with them too much of what all gateways share.
func TestMinGateways(t *testing.T) {
	tests := []struct {
		name  string
		seeds []string
		want  int
	}{
		{"alone", nil, 1},
		{"alone, named as a seed", []string{"10.0.0.1:80"}, 1},
		{"one other", []string{"10.0.0.1:80", "10.0.0.2:80"}, 2},
		{"two others, this VM isn't named", []string{"10.0.0.2:80", "10.0.0.3:80"}, 3},
		{"as many seeds as there may be, one of them this VM", []string{"10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"}, 4},
		{"as many other seeds as there may be", []string{"10.0.0.2:80", "10.0.0.3:80", "10.0.0.4:80"}, 4},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := GatewaySettings{IP: "10.0.0.1", Seeds: test.seeds}
			NewWithT(t).Expect(s.MinGateways()).To(Equal(test.want))
		})
	}
}

package currantwood

import (
	"testing"

	. "github.com/onsi/gomega"
)

// TestFlowBytes guards against a buffer without a bound where the settings don't state the
// memory, and against one for a single stream that exceeds that for all.
func TestFlowBytes(t *testing.T) {
	tests := []struct {
		name          string
		shares        FlowShares
		memory        int64
		stream, total int64
	}{
		{"defaults", FlowShares{}, 112e6, 1_120_000, 11_200_000},
		{"memory isn't stated", FlowShares{}, 0, 1_280_000, 12_800_000},
		{"less for all than the default for one", FlowShares{Total: 0.002}, 100e6, 200_000, 200_000},
		{"both stated", FlowShares{Stream: 0.02, Total: 0.2}, 100e6, 2_000_000, 20_000_000},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			stream, total := test.shares.Bytes(test.memory)
			NewWithT(t).Expect([]int64{stream, total}).To(Equal([]int64{test.stream, test.total}))
		})
	}
}

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

// TestChangesFrom guards against changed settings that are applied without a word, or not applied
// without one.
func TestChangesFrom(t *testing.T) {
	last := GatewaySettings{VM: "a", Seeds: []string{"10.0.0.2:80"}, Cores: 1}
	changed := last
	changed.Seeds, changed.Cores, changed.Bounds.FailClosed = []string{"10.0.0.3:80"}, 2, true
	applied, waiting := changed.ChangesFrom(last)
	g := NewWithT(t)
	g.Expect(applied).To(Equal([]string{"Seeds"}))
	g.Expect(waiting).To(Equal([]string{"Cores", "Bounds"}))
	applied, waiting = last.ChangesFrom(last)
	g.Expect(append(applied, waiting...)).To(BeEmpty())
}

package upstreamkeeper

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood"
)

var start = time.Unix(1_700_000_000, 0)

// decode decodes "state incarnation sequence", with state "ready" or "leaving", and the number
// of slots if that follows. Any other value is an error.
func decode(key string, value []byte) (currantwood.UpstreamRecord, error) {
	var state string
	r := currantwood.UpstreamRecord{ID: currantwood.UpstreamID(key), Group: "g", Address: key + ":1"}
	if _, err := fmt.Sscanf(string(value), "%s %d %d", &state, &r.Incarnation, &r.Sequence); err != nil {
		return r, err
	}
	if state != "ready" && state != "leaving" {
		return r, errors.New("unknown state")
	}
	r.Leaving = state == "leaving"
	if fields := strings.Fields(string(value)); len(fields) > 3 {
		slots, err := strconv.Atoi(fields[3])
		r.Slots = slots
		return r, err
	}
	return r, nil
}

// step is one input to the Keeper and the expected result.
type step struct {
	// atMS is the time since start, in milliseconds.
	atMS int
	// action is one of:
	//   - "a=ready 1 1" for a record, "a=" for its removal
	//   - "all a=..." for a call of Replace
	//   - "says a leaving 1" for a state reported by an upstream of incarnation 1
	//   - "recovered" for the end of a directory outage
	//   - "tick"
	action string
	// changes are the expected events, such as "a leaving".
	changes string
	// available are the expected IDs of the upstreams that may get new work.
	available string
}

var _ = Describe("Keeper", func() {
	DescribeTable("applies directory records and reports the changes",
		func(steps ...step) {
			k := New(decode)
			for i, s := range steps {
				now := start.Add(time.Duration(s.atMS) * time.Millisecond)
				events := perform(k, now, s.action)
				var changes, available []string
				for _, e := range events {
					changes = append(changes, string(e.Record.ID)+" "+e.Change.String())
				}
				for _, v := range k.Available() {
					available = append(available, string(v.ID))
				}
				Expect(strings.Join(changes, ", ")).To(Equal(s.changes), "changes at step %d: %s", i, s.action)
				Expect(strings.Join(available, " ")).To(Equal(s.available), "available after step %d: %s", i, s.action)
			}
		},
		Entry("an upstream appears, announces its leaving and is removed",
			step{0, "a=ready 1 1", "a appeared", "a"},
			step{10, "a=ready 1 2", "", "a"},
			step{20, "a=leaving 1 3", "a leaving", ""},
			step{30, "a=ready 1 2", "", ""},
			step{40, "a=", "a removed", ""},
			step{50, "a=ready 1 4", "", ""},
		),
		Entry("removal without notice takes effect at once",
			step{0, "a=ready 1 1", "a appeared", "a"},
			step{10, "a=", "a removed", ""},
			step{20, "a=ready 1 1", "", ""},
		),
		Entry("a record that expired during a directory outage is written again within two seconds of the recovery",
			step{0, "a=ready 1 1", "a appeared", "a"},
			step{5000, "recovered", "", "a"},
			step{5010, "a=", "a lapsed", "a"},
			step{6900, "a=ready 1 9", "a returned", "a"},
			step{7100, "tick", "", "a"},
		),
		Entry("a lapsed record that is not written again is removed two seconds after the recovery",
			step{0, "a=ready 1 1", "a appeared", "a"},
			step{5000, "recovered", "", "a"},
			step{5010, "all b=ready 1 1", "b appeared, a lapsed", "a b"},
			step{6990, "tick", "", "a b"},
			step{7010, "tick", "a removed", "b"},
		),
		Entry("a lapsed record may be written again as it was; an earlier one doesn't count",
			step{0, "a=ready 1 3", "a appeared", "a"},
			step{5000, "recovered", "", "a"},
			step{5010, "a=", "a lapsed", "a"},
			step{5300, "a=ready 1 2", "", "a"},
			step{5600, "a=ready 1 3", "a returned", "a"},
			step{7010, "tick", "", "a"}),
		Entry("an upstream removed after a lapse appears again when it writes again",
			step{0, "a=ready 1 1", "a appeared", "a"},
			step{5000, "recovered", "", "a"},
			step{5010, "a=", "a lapsed", "a"},
			step{7010, "tick", "a removed", ""},
			step{7500, "a=ready 1 1", "", ""},
			step{8000, "a=ready 1 7", "a appeared", "a"},
		),
		Entry("an upstream removed without notice appears again when it writes again",
			step{0, "a=ready 1 4", "a appeared", "a"},
			step{10, "a=", "a removed", ""},
			step{2000, "a=ready 1 5", "a appeared", "a"},
		),
		Entry("an upstream reports its leaving itself during a directory outage",
			step{0, "a=ready 1 1", "a appeared", "a"},
			step{100, "says a ready 1", "", "a"},
			step{200, "says a leaving 2", "", "a"},
			step{300, "says a leaving 1", "a leaving", ""},
			step{400, "says a leaving 1", "", ""},
			step{5000, "recovered", "", ""},
			step{5010, "a=ready 1 7", "", ""},
			step{5020, "a=", "a removed", ""},
		),
		Entry("an upstream restarts under the same ID",
			step{0, "a=ready 1 8", "a appeared", "a"},
			step{10, "a=leaving 1 9", "a leaving", ""},
			step{20, "a=ready 2 1", "a reborn", "a"},
			step{30, "a=ready 1 10", "", "a"},
		),
		Entry("an undecodable record makes an upstream unavailable until the next valid one",
			step{0, "a=ready 1 1", "a appeared", "a"},
			step{10, "a=nonsense", "a unusable", ""},
			step{20, "b=nonsense", "", ""},
			step{30, "a=ready 1 2", "a appeared", "a"},
		),
	)
})

// Guards against a record that isn't handed on to other gateways, since this one has heard the
// same from the upstream itself.
var _ = DescribeTable("A record is news if it says what the one before didn't",
	func(before []string, record string, want bool) {
		k := New(decode)
		for _, action := range before {
			perform(k, start, action)
		}
		_, news := k.ApplyRecord(start, parseRecord(record))
		Expect(news).To(Equal(want))
	},
	Entry("a new upstream", nil, "a=ready 1 1", true),
	Entry("a heartbeat", []string{"a=ready 1 1"}, "a=ready 1 2", false),
	Entry("a heartbeat of an upstream that has said that it leaves", []string{"a=ready 1 1", "says a leaving 1"}, "a=ready 1 2", false),
	Entry("an announcement", []string{"a=ready 1 1"}, "a=leaving 1 2", true),
	Entry("one that the upstream has made itself", []string{"a=ready 1 1", "says a leaving 1"}, "a=leaving 1 2", true),
	Entry("one that an earlier record made", []string{"a=ready 1 1", "a=leaving 1 2"}, "a=leaving 1 3", false),
	Entry("a removal", []string{"a=ready 1 1"}, "a=", true),
	Entry("a removal after an announcement", []string{"a=ready 1 1", "says a leaving 1"}, "a=", true),
	Entry("a second removal", []string{"a=ready 1 1", "a="}, "a=", false),
	Entry("a return of an upstream that had announced its leaving", []string{"a=ready 1 1", "says a leaving 1", "a="}, "a=ready 1 2", true),
	Entry("an undecodable record", []string{"a=ready 1 1"}, "a=nonsense", true),
	Entry("a second one", []string{"a=ready 1 1", "a=nonsense"}, "a=nonsense", false),
	Entry("a new number of slots", []string{"a=ready 1 1 4"}, "a=ready 1 2 8", true),
	Entry("an earlier record", []string{"a=ready 1 2"}, "a=leaving 1 1", false),
)

// perform executes the action of a step and returns the events.
func perform(k *Keeper, now time.Time, action string) []Event {
	switch {
	case action == "tick":
		return k.Tick(now)
	case action == "recovered":
		k.DirectoryRecovered(now)
		return nil
	case strings.HasPrefix(action, "says "):
		var id, state string
		var reported currantwood.UpstreamState
		if _, err := fmt.Sscanf(action, "says %s %s %d", &id, &state, &reported.Incarnation); err != nil {
			panic(err)
		}
		reported.Leaving = state == "leaving"
		return k.ApplyState(now, currantwood.UpstreamID(id), reported)
	case strings.HasPrefix(action, "all "):
		all := []currantwood.KeyedRecord{parseRecord(strings.TrimPrefix(action, "all "))}
		return append(k.Apply(now, all), k.RemoveMissing(now, all)...)
	}
	return k.Apply(now, []currantwood.KeyedRecord{parseRecord(action)})
}

func parseRecord(text string) currantwood.KeyedRecord {
	key, value, _ := strings.Cut(text, "=")
	return currantwood.KeyedRecord{Key: key, Value: []byte(value)}
}

package currantwood

import "cmp"

// SuspectKind says what of a request may crash upstreams.
type SuspectKind uint8

// The kinds of suspect. Their numbers are sent to other gateways, their texts are
// stored and logged.
const (
	// SuspectRequest is a request as a whole: its path, its customer and its body, or
	// its query if it has no body.
	SuspectRequest SuspectKind = iota // request
	// SuspectPath is the path and the customer of requests without a body, whatever
	// their query.
	SuspectPath // path
	// SuspectPart is a part of a prompt, whatever else the request holds.
	SuspectPart // part
)

// Suspect is what may crash each upstream that runs it. Requests have a suspect in
// common if their fingerprints of its kind are equal.
type Suspect struct {
	Kind        SuspectKind
	Fingerprint Fingerprint
}

// Compare orders suspects by kind and fingerprint.
func (s Suspect) Compare(other Suspect) int {
	return cmp.Or(cmp.Compare(s.Kind, other.Kind), cmp.Compare(s.Fingerprint, other.Fingerprint))
}

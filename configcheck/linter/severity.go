package linter

// Severity says whether a finding is a fault.
type Severity uint8

//go:generate go tool stringer -linecomment -type=Severity

// The severities of findings.
const (
	// Error is for what can't take effect or contradicts itself.
	Error Severity = iota // error
	// Notice is for a state that operators also bring about on purpose. It doesn't make a
	// check fail.
	Notice // notice
)

// MarshalText returns the text of the severity, for JSON.
func (i Severity) MarshalText() ([]byte, error) { return []byte(i.String()), nil }

// Severity returns how severe findings of this kind are. A customer without keys is the usual
// result of withdrawing all of them.
func (i Code) Severity() Severity {
	if i == CustomerWithoutAPIKey {
		return Notice
	}
	return Error
}

package connlimiter

import (
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// event is a reason why a connection was ended or refused.
type event uint8

const (
	connectionRefused event = iota // connections-refused
	connectionDropped              // connections-dropped
	bodyDropped                    // bodies-dropped
	headTooLarge                   // heads-too-large
	headStalled                    // heads-stalled
	bodyStalled                    // bodies-stalled
	writeStalled                   // writes-stalled

	eventCount = iota
)

//go:generate go tool stringer -linecomment -type=event

// events holds a number of each event.
type events [eventCount]int

// fields returns a log field for each event that has occurred.
func (e events) fields() []zap.Field {
	var fields []zap.Field
	for i, count := range e {
		if count > 0 {
			fields = append(fields, zap.Int(event(i).String(), count))
		}
	}
	return fields
}

// instruments holds a counter of each event.
type instruments struct {
	counters [eventCount]metrics.Counter
}

func newInstruments(r metrics.Registry) instruments {
	var i instruments
	for e := range i.counters {
		i.counters[e] = metrics.GetOrRegisterCounter("client-"+event(e).String(), r)
	}
	return i
}

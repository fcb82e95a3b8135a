package currantwood

import (
	"context"

	"github.com/pkg/errors"
)

// ErrLogDown says that the log service refused the append: the record is not
// in the log.
var ErrLogDown = errors.New("log service is down")

// ErrAppendUnknown says that no answer came to an append: the record may be in
// the log. The writer looks for it by the id inside before it tries again.
var ErrAppendUnknown = errors.New("outcome of the append is unknown")

// Record is one entry of a stream in the log service.
type Record struct {
	Offset Offset
	Data   []byte
}

// Window is a part of a stream.
type Window struct {
	// First is the oldest offset that the log still keeps.
	First Offset
	// Next is the offset that the next append will get. Next >= First.
	Next Offset
	// Records are consecutive and in ascending order of offset. The first one
	// is at the offset asked for, or at First if that is later.
	Records []Record
}

// Log is the platform's log service.
type Log interface {
	// Append adds one record and returns its offset. It fails with ErrLogDown
	// when the record is surely not in the log and with ErrAppendUnknown when
	// it may be.
	Append(ctx context.Context, stream StreamName, data []byte) (Offset, error)
	// Read returns at most limit records from the given offset on. A stream
	// that has no records yet reads as an empty window.
	Read(ctx context.Context, stream StreamName, from Offset, limit int) (Window, error)
}

// VM is one entry of the platform's VM list.
type VM struct {
	ID     VMID     `json:"id"`
	Role   string   `json:"role"`
	Region RegionID `json:"region"`
	Zone   ZoneID   `json:"zone"`
	// Address is where the process's link listener is reached, host:port.
	Address string `json:"address"`
	// OperatorAddress is where health, metrics and reports are read, host:port.
	OperatorAddress string `json:"operator-address"`
	// Upstream and Group are empty for an entry.
	Upstream UpstreamID `json:"upstream,omitempty"`
	Group    GroupID    `json:"group,omitempty"`
	Model    ModelID    `json:"model,omitempty"`
	Leaving  bool       `json:"leaving"`
}

// VMList is the platform's list of VMs. It lags behind the truth.
type VMList interface {
	VMs(ctx context.Context) ([]VM, error)
}

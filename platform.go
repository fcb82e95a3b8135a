package currantwood

import (
	"context"

	"github.com/pkg/errors"
)

// ErrLogDown means that the record is certainly not in the log: the log service
// was unreachable or rejected the append.
var ErrLogDown = errors.New("log service is down")

// ErrAppendUnknown means that an append got no response: the record may be in
// the log. Before it retries, the writer searches the log for the ID that it
// put into the record's data.
var ErrAppendUnknown = errors.New("outcome of the append is unknown")

// Record is one entry of a stream in the log service.
type Record struct {
	Offset Offset
	Data   []byte
}

// RecordBatch is a batch of consecutive records from a stream.
type RecordBatch struct {
	// First is the oldest offset that the log still retains.
	First Offset
	// End is the offset after the newest record that was visible to the read;
	// End >= First. Reads may lag behind appends, so the next append may get a
	// higher offset.
	End Offset
	// Records are consecutive and in ascending order of offset. The first is at
	// the requested offset, or at First if that is later.
	Records []Record
}

// Log is the platform's log service.
type Log interface {
	// Append adds one record and returns its offset. It fails with ErrLogDown if
	// the record is certainly not in the log, and with ErrAppendUnknown if it may
	// be.
	Append(ctx context.Context, stream StreamName, data []byte) (Offset, error)
	// Read returns at most limit records, starting at offset from. A stream
	// without records yields an empty window.
	Read(ctx context.Context, stream StreamName, from Offset, limit int) (RecordBatch, error)
}

// VM describes one VM of the platform's VM list.
type VM struct {
	ID     VMID     `json:"id"`
	Role   string   `json:"role"`
	Region RegionID `json:"region"`
	Zone   ZoneID   `json:"zone"`
	// Address is the address, host:port, at which a side accepts links, which
	// are the connections from entries.
	Address string `json:"address"`
	// OperatorAddress serves health, metrics and reports, host:port.
	OperatorAddress string `json:"operator-address"`
	// Upstream and Group are empty if Role is RoleEntry.
	Upstream UpstreamID `json:"upstream,omitempty"`
	Group    GroupID    `json:"group,omitempty"`
	Model    ModelID    `json:"model,omitempty"`
	Leaving  bool       `json:"leaving"`
}

// VMList is the platform's list of VMs. It is eventually consistent: VMs that
// started or ended recently may be missing or still listed.
type VMList interface {
	VMs(ctx context.Context) ([]VM, error)
}

package peerkeeper

import "github.com/currantwood/currantwood"

// StartLog is one of the two logs of starts of streams that a process has.
type StartLog uint8

// The logs. Their positions are unrelated.
const (
	// OwnStarts holds the starts at the gateway itself, which it tells the collector.
	OwnStarts StartLog = iota
	// AllStarts holds all that it knows, which the collector tells the others.
	AllStarts
	startLogs
)

// StartPosition is a position in a log of starts of one process.
type StartPosition struct {
	Process, Next uint64
}

// NoteStartsReceived notes that the starts in a log of a gateway are known here up to a
// position.
func (k *Keeper) NoteStartsReceived(id currantwood.VMID, log StartLog, known StartPosition) {
	entry := k.peers[id]
	if entry == nil {
		return
	}
	if before := entry.startsReceived[log]; before.Process == known.Process {
		known.Next = max(known.Next, before.Next)
	}
	entry.startsReceived[log] = known
}

// StartsReceived returns up to which position the starts in a log of a gateway are known here.
func (k *Keeper) StartsReceived(id currantwood.VMID, log StartLog) StartPosition {
	if entry := k.peers[id]; entry != nil {
		return entry.startsReceived[log]
	}
	return StartPosition{}
}

// SetStartsAcknowledged notes up to which position a gateway has the starts in a log of this
// VM.
func (k *Keeper) SetStartsAcknowledged(id currantwood.VMID, log StartLog, known StartPosition) {
	if entry := k.peers[id]; entry != nil {
		entry.startsAcknowledged[log], entry.takesStarts = known, true
	}
}

// StartsAcknowledged returns up to which position a gateway has the starts in a log of this
// process, and whether it takes any.
func (k *Keeper) StartsAcknowledged(id currantwood.VMID, log StartLog, process uint64) (next uint64, takes bool) {
	entry := k.peers[id]
	if entry == nil || !entry.takesStarts {
		return 0, false
	}
	if entry.startsAcknowledged[log].Process != process {
		return 0, true
	}
	return entry.startsAcknowledged[log].Next, true
}

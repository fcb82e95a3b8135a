package engine

import (
	"net/http"
	"strconv"
	"time"
)

// relay writes a stream's tokens from the given index on as server-sent events
// until the stream is complete or the client disconnects. It aborts the
// connection when the engine crashes, the stream is canceled or the fault
// CutAfterTokens applies.
func (e *Engine) relay(w http.ResponseWriter, r *http.Request, s *stream, incarnation chan struct{}, from uint64) {
	defer e.removeReader(s)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	_ = flusher.Flush()
	sent := 0
	var buffer []byte
	for next := from; ; {
		current := e.snapshot(s)
		buffer = buffer[:0]
		for ; next < current.ready && !current.abortsAfter(sent); next++ {
			buffer = appendToken(buffer, next, s.idHash)
			sent++
		}
		finished := current.done && next >= current.ready
		if finished {
			buffer = appendDone(buffer, current.ready)
		}
		if len(buffer) > 0 {
			if _, err := w.Write(buffer); err != nil {
				return
			}
			_ = flusher.Flush()
		}
		if finished {
			return
		}
		if current.abortsAfter(sent) {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-current.changed:
		case <-r.Context().Done():
			return
		case <-incarnation:
			panic(http.ErrAbortHandler)
		}
	}
}

// streamSnapshot is a copy of a stream's state and the faults that concern it.
type streamSnapshot struct {
	ready    uint64
	done     bool
	canceled bool
	// cutAfter is Faults.CutAfterTokens.
	cutAfter int
	changed  chan struct{}
}

// abortsAfter reports whether a connection is to be aborted after that many
// tokens, because the stream is canceled or Faults.CutAfterTokens is reached.
func (s streamSnapshot) abortsAfter(sent int) bool {
	return s.canceled || s.cutAfter > 0 && sent >= s.cutAfter
}

func (e *Engine) snapshot(s *stream) streamSnapshot {
	e.mu.Lock()
	defer e.mu.Unlock()
	return streamSnapshot{
		ready:    s.ready,
		done:     s.done,
		canceled: s.canceled,
		cutAfter: e.faults.CutAfterTokens,
		changed:  s.changed,
	}
}

// removeReader counts a reader's connection as closed.
func (e *Engine) removeReader(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.readers--
	s.unreadSince = time.Now()
}

// appendToken appends the event of one token.
func appendToken(to []byte, index uint64, idHash uint32) []byte {
	to = append(to, "id: "...)
	to = strconv.AppendUint(to, index, 10)
	to = append(to, "\ndata: {\"text\": \""...)
	to = strconv.AppendUint(to, index, 10)
	to = append(to, ':')
	to = strconv.AppendUint(to, uint64(idHash), 16)
	return append(to, " \"}\n\n"...)
}

// appendDone appends the final event, with the number of tokens.
func appendDone(to []byte, tokens uint64) []byte {
	to = append(to, "event: done\ndata: {\"tokens\": "...)
	to = strconv.AppendUint(to, tokens, 10)
	return append(to, ", \"finish-reason\": \"stop\"}\n\n"...)
}

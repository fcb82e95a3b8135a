package engine

import (
	"net/http"
	"strconv"
	"time"
)

// relay writes a stream's tokens from the given index on as server-sent
// events until the stream is done, the reader leaves or the engine crashes.
func (e *Engine) relay(w http.ResponseWriter, r *http.Request, s *stream, life chan struct{}, from uint64) {
	defer e.leave(s)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	_ = flusher.Flush()
	sent := 0
	var buffer []byte
	for next := from; ; {
		seen := e.look(s)
		buffer = buffer[:0]
		for ; next < seen.ready && !seen.cuts(sent); next++ {
			buffer = appendToken(buffer, next, s.mark)
			sent++
		}
		finished := seen.done && next >= seen.ready
		if finished {
			buffer = appendDone(buffer, seen.ready)
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
		if seen.cuts(sent) {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-seen.changed:
		case <-r.Context().Done():
			return
		case <-life:
			panic(http.ErrAbortHandler)
		}
	}
}

// view is a stream's state at one moment.
type view struct {
	ready     uint64
	done      bool
	cancelled bool
	// cutAfter is the fault of that name.
	cutAfter int
	changed  chan struct{}
}

// cuts reports whether a connection that was sent that many tokens is cut.
func (v view) cuts(sent int) bool {
	return v.cancelled || v.cutAfter > 0 && sent >= v.cutAfter
}

func (e *Engine) look(s *stream) view {
	e.mu.Lock()
	defer e.mu.Unlock()
	return view{
		ready:     s.ready,
		done:      s.done,
		cancelled: s.cancelled,
		cutAfter:  e.faults.CutAfterTokens,
		changed:   s.changed,
	}
}

func (e *Engine) leave(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.readers--
	s.idleSince = time.Now()
}

func appendToken(to []byte, index uint64, mark uint32) []byte {
	to = append(to, "id: "...)
	to = strconv.AppendUint(to, index, 10)
	to = append(to, "\ndata: {\"text\": \""...)
	to = strconv.AppendUint(to, index, 10)
	to = append(to, ':')
	to = strconv.AppendUint(to, uint64(mark), 16)
	return append(to, " \"}\n\n"...)
}

func appendDone(to []byte, tokens uint64) []byte {
	to = append(to, "event: done\ndata: {\"tokens\": "...)
	to = strconv.AppendUint(to, tokens, 10)
	return append(to, ", \"finish-reason\": \"stop\"}\n\n"...)
}

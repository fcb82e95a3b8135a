// Package logservice is the stand-in for the platform's log service, for tests
// and demonstrations. docs/PROTOCOLS.md describes its API and faults.
package logservice

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/standin/switcher"
)

const (
	// maxRecordBytes is the maximum size of a record.
	maxRecordBytes = 8 << 20
	// defaultReadLimit is the maximum number of records of a read without a
	// valid limit.
	defaultReadLimit = 1000
	// pollInterval is how often a waiting read checks for records. Reads poll
	// because, with a read lag, records become visible some time after their
	// append.
	pollInterval = 5 * time.Millisecond
)

// Faults are the fault settings of the service. The zero value means no faults.
type Faults struct {
	// Down answers 503 to appends and reads.
	Down bool `json:"down"`
	// DelayMS delays each append and read, in milliseconds.
	DelayMS int64 `json:"delay-ms"`
	// LoseResponses is the number of appends, from now on, that are stored but
	// whose response is lost: the connection is aborted.
	LoseResponses int `json:"lose-answers"`
	// AppendsPerSecond limits the appends accepted; 0 means no limit.
	AppendsPerSecond float64 `json:"appends-per-second"`
	// RetentionMS is how long a record is kept, in milliseconds; 0 means
	// forever.
	RetentionMS int64 `json:"retention-ms"`
	// ReadLagMS is the time in milliseconds until an append becomes visible to
	// reads.
	ReadLagMS int64 `json:"read-lag-ms"`
}

// Retention is how long a record is kept; 0 means forever.
func (f Faults) Retention() time.Duration {
	return time.Duration(f.RetentionMS) * time.Millisecond
}

// ReadLag is the time until an append becomes visible to reads.
func (f Faults) ReadLag() time.Duration {
	return time.Duration(f.ReadLagMS) * time.Millisecond
}

// Counts are totals since the service was created.
type Counts struct {
	// Appends counts the records stored.
	Appends int `json:"appends"`
	// Refused counts the appends refused because of Down or AppendsPerSecond.
	Refused int `json:"refused"`
	// LostResponses counts the records stored whose response was lost to
	// Faults.LoseResponses.
	LostResponses int `json:"lost-answers"`
	// Reads counts lookups; a waiting read counts once for each poll.
	Reads int `json:"reads"`
}

// Service is the log service stand-in. It is an http.Handler.
type Service struct {
	mux    *http.ServeMux
	faults *switcher.Switcher[Faults]

	mu   sync.Mutex
	core *core
	// responsesToLose is the number of further appends whose response is lost,
	// as set by Faults.LoseResponses.
	responsesToLose int
}

// New returns an empty log service without faults.
func New() *Service {
	s := &Service{mux: http.NewServeMux(), core: newCore()}
	s.faults = switcher.New(func(f Faults) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.core.setAppendLimit(f.AppendsPerSecond)
		s.core.expire(time.Now(), f.Retention())
		s.responsesToLose = f.LoseResponses
	})
	s.mux.Handle("POST /faults", s.faults)
	s.mux.HandleFunc("GET /counts", s.serveCounts)
	s.mux.HandleFunc("POST /streams/{name...}", s.serveAppend)
	s.mux.HandleFunc("GET /streams/{name...}", s.serveRead)
	return s
}

// ServeHTTP serves the API of the log service.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// SetFaults replaces the faults, as POST /faults does.
func (s *Service) SetFaults(faults Faults) {
	s.faults.Set(faults)
}

// Counts returns the totals so far.
func (s *Service) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.counts
}

// CountRecords returns the number of records not expired yet that contain text, in
// the streams whose names begin with prefix.
func (s *Service) CountRecords(prefix, text string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for name, stream := range s.core.streams {
		if !strings.HasPrefix(string(name), prefix) {
			continue
		}
		for _, entry := range stream.entries {
			if bytes.Contains(entry.data, []byte(text)) {
				count++
			}
		}
	}
	return count
}

func (s *Service) serveCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.Counts())
}

// serveAppend appends the request's body after the delay, also when the client
// has disconnected meanwhile, as may happen with a real service.
func (s *Service) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	faults := s.faults.Faults()
	time.Sleep(time.Duration(faults.DelayMS) * time.Millisecond)

	s.mu.Lock()
	offset, accepted := s.core.append(time.Now(), faults, currantwood.StreamName(r.PathValue("name")), data)
	lost := accepted && s.responsesToLose > 0
	if lost {
		s.responsesToLose--
		s.core.counts.LostResponses++
	}
	s.mu.Unlock()

	switch {
	case !accepted:
		http.Error(w, "the record was refused", http.StatusServiceUnavailable)
	case lost:
		panic(http.ErrAbortHandler)
	default:
		writeJSON(w, struct {
			Offset currantwood.Offset `json:"offset"`
		}{offset})
	}
}

func (s *Service) serveRead(w http.ResponseWriter, r *http.Request) {
	time.Sleep(time.Duration(s.faults.Faults().DelayMS) * time.Millisecond)
	query := r.URL.Query()
	from, _ := strconv.ParseUint(query.Get("from"), 10, 64)
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit <= 0 {
		limit = defaultReadLimit
	}
	waitMS, _ := strconv.ParseInt(query.Get("wait-ms"), 10, 64)
	deadline := time.Now().Add(time.Duration(waitMS) * time.Millisecond)

	name := currantwood.StreamName(r.PathValue("name"))
	for {
		if s.faults.Faults().Down {
			http.Error(w, "the log service is down", http.StatusServiceUnavailable)
			return
		}
		batch := s.read(name, currantwood.Offset(from), limit)
		if len(batch.Records) > 0 || !time.Now().Before(deadline) || r.Context().Err() != nil {
			writeBatch(w, batch)
			return
		}
		time.Sleep(pollInterval)
	}
}

func (s *Service) read(name currantwood.StreamName, from currantwood.Offset, limit int) currantwood.RecordBatch {
	faults := s.faults.Faults()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.counts.Reads++
	return s.core.read(time.Now(), faults, name, from, limit)
}

// recordBody is the JSON form of a record.
type recordBody struct {
	Offset currantwood.Offset `json:"offset"`
	Data   []byte             `json:"data"`
}

// readResponse is the JSON body of a response to a read.
type readResponse struct {
	First   currantwood.Offset `json:"first"`
	Next    currantwood.Offset `json:"next"`
	Records []recordBody       `json:"records"`
}

func writeBatch(w http.ResponseWriter, batch currantwood.RecordBatch) {
	body := readResponse{First: batch.First, Next: batch.End, Records: []recordBody{}}
	for _, r := range batch.Records {
		body.Records = append(body.Records, recordBody(r))
	}
	writeJSON(w, body)
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	// A client that has disconnected needs no response.
	_ = json.NewEncoder(w).Encode(body)
}

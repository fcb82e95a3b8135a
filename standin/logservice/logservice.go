// Package logservice stands in for the platform's log service in tests and
// demonstrations. docs/PROTOCOLS.md has its calls and faults.
package logservice

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/standin/switcher"
)

const (
	// maxRecordBytes bounds one record.
	maxRecordBytes = 8 << 20
	// defaultLimit is the number of records of a read that names no limit.
	defaultLimit = 1000
	// pollInterval is how often a waiting read looks again, which a read lag
	// makes necessary besides the signal of an append.
	pollInterval = 5 * time.Millisecond
)

// Faults are the faults that the service shows. The zero value means none.
type Faults struct {
	Down             bool    `json:"down"`
	DelayMS          int64   `json:"delay-ms"`
	LoseAnswers      int     `json:"lose-answers"`
	AppendsPerSecond float64 `json:"appends-per-second"`
	RetentionMS      int64   `json:"retention-ms"`
	ReadLagMS        int64   `json:"read-lag-ms"`
}

// Retention is how long a record is kept; 0 means for good.
func (f Faults) Retention() time.Duration {
	return time.Duration(f.RetentionMS) * time.Millisecond
}

// ReadLag is how long an append stays unseen by readers.
func (f Faults) ReadLag() time.Duration {
	return time.Duration(f.ReadLagMS) * time.Millisecond
}

// Counts is what the service saw.
type Counts struct {
	// Appends are the records taken.
	Appends int `json:"appends"`
	// Refused are the records surely not taken.
	Refused int `json:"refused"`
	// LostAnswers are the records taken whose answer was dropped.
	LostAnswers int `json:"lost-answers"`
	Reads       int `json:"reads"`
}

// Service is the stand-in. It is an http.Handler.
type Service struct {
	mux    *http.ServeMux
	faults *switcher.Switcher[Faults]

	mu   sync.Mutex
	core *core
	// lose is how many answers of further appends are to be dropped.
	lose int
}

// New returns an empty log service without faults.
func New() *Service {
	s := &Service{mux: http.NewServeMux(), core: newCore()}
	s.faults = switcher.New(func(f Faults) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.core.limit(f.AppendsPerSecond)
		s.core.expire(time.Now(), f.Retention())
		s.lose = f.LoseAnswers
	})
	s.mux.Handle("POST /faults", s.faults)
	s.mux.HandleFunc("GET /counts", s.serveCounts)
	s.mux.HandleFunc("POST /streams/{name...}", s.serveAppend)
	s.mux.HandleFunc("GET /streams/{name...}", s.serveRead)
	return s
}

// ServeHTTP serves the calls of the log service.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// SetFaults replaces the faults, as POST /faults does.
func (s *Service) SetFaults(faults Faults) {
	s.faults.Set(faults)
}

// Counts returns what the service saw so far.
func (s *Service) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.counts
}

func (s *Service) serveCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.Counts())
}

// serveAppend lets an append take effect after the delay also when its caller
// has gone meanwhile, as a real service may.
func (s *Service) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	faults := s.faults.Faults()
	time.Sleep(time.Duration(faults.DelayMS) * time.Millisecond)

	s.mu.Lock()
	offset, taken := s.core.append(time.Now(), faults, currantwood.StreamName(r.PathValue("name")), data)
	lost := taken && s.lose > 0
	if lost {
		s.lose--
		s.core.counts.LostAnswers++
	}
	s.mu.Unlock()

	switch {
	case !taken:
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
		limit = defaultLimit
	}
	waitMS, _ := strconv.ParseInt(query.Get("wait-ms"), 10, 64)
	deadline := time.Now().Add(time.Duration(waitMS) * time.Millisecond)

	name := currantwood.StreamName(r.PathValue("name"))
	for {
		if s.faults.Faults().Down {
			http.Error(w, "the log service is down", http.StatusServiceUnavailable)
			return
		}
		window := s.read(name, currantwood.Offset(from), limit)
		if len(window.Records) > 0 || !time.Now().Before(deadline) || r.Context().Err() != nil {
			writeWindow(w, window)
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

// record and windowBody are the JSON forms of a read's answer.
type record struct {
	Offset currantwood.Offset `json:"offset"`
	Data   []byte             `json:"data"`
}

type windowBody struct {
	First   currantwood.Offset `json:"first"`
	Next    currantwood.Offset `json:"next"`
	Records []record           `json:"records"`
}

func writeWindow(w http.ResponseWriter, window currantwood.RecordBatch) {
	body := windowBody{First: window.First, Next: window.End, Records: []record{}}
	for _, r := range window.Records {
		body.Records = append(body.Records, record(r))
	}
	writeJSON(w, body)
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	// A caller that has gone needs no answer.
	_ = json.NewEncoder(w).Encode(body)
}

package headserver

import (
	"io"
	"net/http"
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/headkeeper"
	"github.com/currantwood/currantwood/operatorserver"
	"github.com/currantwood/currantwood/parser"
)

// Path is the path at the operator address that serves the head in force.
const Path = "/head"

// maxHeadBytes bounds the body of a POST. JSON encodes a newline, quote or backslash
// of the text as two bytes; 4096 bytes are for the other fields. A text near
// parser.MaxTextBytes with many of <, > and &, which take six bytes, can exceed it.
const maxHeadBytes = 2*parser.MaxTextBytes + 4096

// Report is the response body of Path. It describes the head in force.
type Report struct {
	Revision    currantwood.Revision      `json:"revision"`
	Publication currantwood.PublicationID `json:"publication"`
	// Unreadable is the error that kept a later head from being put in force; empty
	// if there is none.
	Unreadable string `json:"unreadable,omitempty"`
}

// ServeHTTP responds with a Report. A POST first passes the server a head that the
// log has accepted, encoded as a checkpoint record. That head is put in force later,
// so the Report may still show the previous one.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxHeadBytes))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		snapshot, err := headkeeper.DecodeSnapshot(body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.adopt(time.Now(), snapshot)
	}
	operatorserver.WriteJSON(w, s.report())
}

func (s *Server) report() Report {
	s.inForceMu.Lock()
	defer s.inForceMu.Unlock()
	report := Report{Revision: s.headInForce.Revision, Publication: s.headInForce.Publication}
	if s.unreadable != nil {
		report.Unreadable = s.unreadable.Error()
	}
	return report
}

// adopt passes a head sent by an operator to the keeper and the spreader.
func (s *Server) adopt(now time.Time, snapshot headkeeper.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keeper.Adopt(snapshot)
	s.send(s.spreader.Adopt(now, snapshot))
	signal(s.headChanged)
}

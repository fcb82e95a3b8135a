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

// Path is where operators find the head in force.
const Path = "/head"

// maxHeadBytes bounds a head that an operator hands over; its text is written
// in JSON.
const maxHeadBytes = 2*parser.MaxTextBytes + 4096

// Page is the answer of the operators' page.
type Page struct {
	Revision    currantwood.Revision      `json:"revision"`
	Publication currantwood.PublicationID `json:"publication"`
	// Unreadable says why a later head is not in force.
	Unreadable string `json:"unreadable,omitempty"`
}

// ServeHTTP answers operators with the head in force. By POST it first takes a
// head that the log has accepted from the operator who published it.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxHeadBytes))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		anchor, err := headkeeper.DecodeAnchor(body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.adopt(time.Now(), anchor)
	}
	operatorserver.WriteJSON(w, s.page())
}

func (s *Server) page() Page {
	s.forceMu.Lock()
	defer s.forceMu.Unlock()
	page := Page{Revision: s.force.Revision, Publication: s.force.Publication}
	if s.unreadable != nil {
		page.Unreadable = s.unreadable.Error()
	}
	return page
}

// adopt takes a head that came neither by the log nor by a link.
func (s *Server) adopt(now time.Time, anchor headkeeper.Anchor) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keeper.Adopt(anchor)
	s.send(s.spreader.Adopt(now, anchor))
	signal(s.fresh)
}

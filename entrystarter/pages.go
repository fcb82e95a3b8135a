package entrystarter

import (
	"net/http"
	"time"

	"github.com/currantwood/currantwood/operatorserver"
)

// serveServiceLevels serves this entry's measurements against its service-level
// objectives.
func (e *Entry) serveServiceLevels(w http.ResponseWriter, _ *http.Request) {
	levels, err := e.observer.Snapshot(time.Now(), e.settings.Process)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	operatorserver.WriteJSON(w, levels)
}

// recentRequestLimit is the number of served generations kept for workload
// traces.
const recentRequestLimit = 4096

func (e *Entry) serveRecentRequests(w http.ResponseWriter, _ *http.Request) {
	operatorserver.WriteJSON(w, e.recentRequests.Recent())
}

package emulator

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

const (
	endpointsPath = "/v1/endpoints"

	// maxWatchMillis bounds how long a request watches, whatever it asks for.
	maxWatchMillis = 60000
)

// handle answers GET /v1/endpoints. Without an index it returns the whole list; with an index it returns what
// has changed since, and waits for a change as long as the request asks.
func (d *discovery) handle(w http.ResponseWriter, request *http.Request, instance int) {
	if d.isRefusing() {
		panic(http.ErrAbortHandler) // breaks the connection
	}
	if request.URL.Path != endpointsPath {
		http.NotFound(w, request)
		return
	}
	index, err := strconv.ParseInt(request.FormValue("index"), 10, 64)
	if err != nil {
		writeList(w, d.deliverSnapshot(instance))
		return
	}
	waitMillis, _ := strconv.ParseInt(request.FormValue("wait"), 10, 64) // no number asks for an answer at once
	d.watch(w, request, instance, index, time.Duration(min(waitMillis, maxWatchMillis))*time.Millisecond)
}

// watch answers with the changes after an index, or with an empty delta when the wait is over.
func (d *discovery) watch(
	w http.ResponseWriter, request *http.Request, instance int, index int64, wait time.Duration,
) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		found := d.deliverChanges(index, instance)
		if found.refusing {
			panic(http.ErrAbortHandler) // breaks the connection
		}
		if len(found.delta.Endpoints) > 0 {
			writeList(w, found.delta)
			return
		}
		select {
		case <-found.changed:
		case <-timer.C:
			writeList(w, found.delta)
			return
		case <-request.Context().Done():
			return
		}
	}
}

func writeList(w http.ResponseWriter, list endpointList) {
	_ = json.NewEncoder(w).Encode(list) // fails only if the instance has left: it polls again
}

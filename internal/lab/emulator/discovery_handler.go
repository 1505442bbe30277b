package emulator

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

const (
	endpointsPath = "/v1/endpoints"

	// maxWatchMillis is the longest wait of a watch; longer requested waits are cut to it.
	maxWatchMillis = 60000
)

// handle serves GET /v1/endpoints. Without an index in the request it returns a snapshot; with an index it returns
// the changes after that index, and waits up to the requested time for a change.
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
	waitMillis, _ := strconv.ParseInt(request.FormValue("wait"), 10, 64) // 0, no wait, if it is not a number
	d.watch(w, request, instance, index, time.Duration(min(waitMillis, maxWatchMillis))*time.Millisecond)
}

// watch responds with the changes after an index, or with an empty delta at the end of the wait.
func (d *discovery) watch(
	w http.ResponseWriter, request *http.Request, instance int, index int64, wait time.Duration,
) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		result := d.deliverChanges(index, instance)
		if result.refusing {
			panic(http.ErrAbortHandler) // breaks the connection
		}
		if len(result.delta.Endpoints) > 0 {
			writeList(w, result.delta)
			return
		}
		select {
		case <-result.changed:
		case <-timer.C:
			writeList(w, result.delta)
			return
		case <-request.Context().Done():
			return
		}
	}
}

func writeList(w http.ResponseWriter, list endpointList) {
	_ = json.NewEncoder(w).Encode(list) // fails only if the instance has closed the connection
}

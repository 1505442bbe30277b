package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// shape is what the cases change in a gateway's settings.
type shape struct {
	goalMillis, deadlineMillis, drainGraceMillis int
	effect                                       string
	secondCopies, cancelling                     bool
}

// usualShape is that of the deployment oviedo-calculo: promised time, hard limit, cutoff and further shots.
func usualShape() shape {
	return shape{
		goalMillis: 750, deadlineMillis: 2500, drainGraceMillis: 1000,
		effect: "read_like", secondCopies: true, cancelling: true,
	}
}

// settings returns the settings of a gateway: one class, calc, and one plan without a quota on the rate unless rate is
// above 0.
func (s shape) settings(number, instances int, rate, peak float64) map[string]any {
	return map[string]any{
		"discovery": "pushed", "me": number, "replicas-of-me": instances, "my-zone": 0, "zones": []string{"z0"},
		"family-info": map[string]any{"may-count": false},
		"invariants": map[string]any{
			"cold-share": 0.2, "fall-ms": 2000, "tip-multiple": 4, "warm-up-ms": 18000,
			"stop-sending-within-ms": s.drainGraceMillis,
		},
		"lanes": []any{map[string]any{
			"name": "calc", "effect": s.effect, "goal-time-ms": s.goalMillis, "deadline-ms": s.deadlineMillis,
			"late-worth": 0,
		}},
		"permissions": map[string]any{
			"cancelling": s.cancelling, "second-copies": s.secondCopies, "probes": false,
			"retry-after": true, "max-retry-after-ms": 1000, "send-cap": 5,
		},
		"tariffs": []any{map[string]any{
			"name": "despacho", "quota-rate": rate, "peak-units": peak, "parallel": 0, "cap-rate": 0,
			"ceiling-burst": 0, "beyond-costs": 0.5, "beyond-earns": 0,
		}},
	}
}

// configFile writes the configuration of a gateway and returns its path. nodes are the calc nodes of the list that the
// gateway starts with.
func (w *world) configFile(name, listen, mgmt string, settings map[string]any, nodes ...*node) string {
	endpoints := []any{}
	for _, n := range nodes {
		endpoints = append(endpoints, map[string]any{
			"name": n.name, "address": n.address, "zone": "z0", "type": "m1", "group": 0, "status": "up",
			"weight": 1, "since_ms": 0,
		})
	}
	text, err := json.MarshalIndent(map[string]any{
		"name": name, "listen": listen, "mgmt": mgmt, "discovery": w.freeAddress(),
		"seed":     fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits":   map[string]any{"memory_mb": 192, "sockets": 1024},
		"known":    map[string]any{"index": 1, "snapshot": true, "endpoints": endpoints},
		"settings": settings,
	}, "", " ")
	if err != nil {
		panic(err)
	}
	return w.writeFile(name+".json", string(text))
}

// healthy reports whether the management address says that the gateway can serve.
func healthy(mgmt string) bool {
	status, _, err := httpGet("http://" + mgmt + "/admin/health")
	return err == nil && status == http.StatusOK
}

func httpGet(url string) (status int, body string, err error) {
	client := http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(url)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}

// replica is one replica of the store, with a gateway or without.
type replica struct {
	id, raft, api string
}

func (r replica) peer() string { return r.id + "@" + r.raft + "@" + r.api }

// newReplicas returns replicas with free addresses.
func (w *world) newReplicas(ids ...string) []replica {
	var replicas []replica
	for _, id := range ids {
		replicas = append(replicas, replica{id: id, raft: w.freeAddress(), api: w.freeAddress()})
	}
	return replicas
}

// storeFlags returns the flags of a replica.
func (w *world) storeFlags(r replica, all []replica) string {
	var peers []string
	for _, peer := range all {
		peers = append(peers, peer.peer())
	}
	return fmt.Sprintf(" --store %s --me %s --peers %s", w.path("store-"+r.id), r.peer(), strings.Join(peers, ","))
}

// startReplica starts a replica without a gateway.
func (w *world) startReplica(r replica, all []replica) *proc {
	return w.start(r.id, "exec bin/fawnplank store run"+w.storeFlags(r, all))
}

// startGateway starts a gateway by the command of the deploy file, with more flags where the case has a store.
func (w *world) startGateway(name, configFile, operatorFile, flags string) *proc {
	environment := []string{"GW_CONFIG=" + configFile}
	if operatorFile != "" {
		environment = append(environment, "GW_OPERATOR="+operatorFile)
	}
	return w.start(name, w.deployRun()+flags, environment...)
}

// storeStatus is the part of a replica's status that the cases use.
type storeStatus struct {
	State  string `json:"state"`
	Leader string `json:"leader"`
	Votes  bool   `json:"votes"`
	Last   uint64 `json:"last"`
	Commit uint64 `json:"commit"`
}

// status asks a replica for its status.
func (r replica) status() (storeStatus, bool) {
	var s storeStatus
	code, body, err := httpGet("http://" + r.api + "/v1/status")
	ok := err == nil && code == http.StatusOK && json.Unmarshal([]byte(body), &s) == nil
	return s, ok
}

// leader returns the id of the replica that says of itself that it leads, or "".
func leader(replicas []replica) string {
	for _, r := range replicas {
		if s, ok := r.status(); ok && s.State == "Leader" {
			return r.id
		}
	}
	return ""
}

// put writes a key and returns the status of the answer, 0 without one.
func (r replica) put(key, value string) int {
	request, _ := http.NewRequest(http.MethodPut, "http://"+r.api+"/v1/kv/"+key, strings.NewReader(value))
	client := http.Client{Timeout: 12 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

package config

import (
	"fmt"
	"strconv"
)

// environmentNames lists the environment variables that replace keys that a configuration leaves out.
var environmentNames = map[string]string{
	keyName:       "GW_NAME",
	keyListen:     "GW_LISTEN",
	keyDiscovery:  "GW_DISCOVERY",
	keyManagement: "GW_MGMT",
}

// listenerNames lists the environment variables that may name the listener handed down. The first one that is
// set wins.
var listenerNames = []string{"GW_SOCKET_FD", "SOCKET_FD"}

// listenerFD returns the descriptor of the listener that was handed to the process, or -1 if there is none.
func listenerFD(getenv func(string) string) (int, error) {
	for _, name := range listenerNames {
		text := getenv(name)
		if text == "" {
			continue
		}
		fd, err := strconv.Atoi(text)
		if err != nil || fd < 0 {
			return 0, fmt.Errorf("%s is %q, which is no descriptor", name, text)
		}
		return fd, nil
	}
	return -1, nil
}

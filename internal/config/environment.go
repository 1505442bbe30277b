package config

import (
	"fmt"
	"strconv"
)

// environmentVariables maps keys of the configuration to the environment variables that are read if a key is absent.
var environmentVariables = map[string]string{
	keyName:       "GW_NAME",
	keyListen:     "GW_LISTEN",
	keyDiscovery:  "GW_DISCOVERY",
	keyManagement: "GW_MGMT",
}

// listenerVariables lists the environment variables that may hold the descriptor of an inherited listener. The first
// variable that is set takes precedence.
var listenerVariables = []string{"GW_SOCKET_FD", "SOCKET_FD"}

// listenerFD returns the descriptor of the inherited listener, or -1 if there is none.
func listenerFD(getenv func(string) string) (int, error) {
	for _, name := range listenerVariables {
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

package store

import (
	"net/url"
	"strings"
)

// KeyPath returns the API path of a key. It escapes every character with a special meaning in a URL. It also escapes
// slashes, and the keys "." and "..", because the HTTP server redirects a path with empty or dot segments to a
// shortened path.
func KeyPath(key string) string {
	if key == "." || key == ".." {
		return kvPath + "/" + strings.ReplaceAll(key, ".", "%2E")
	}
	return kvPath + "/" + url.PathEscape(key)
}

// KeyListPath returns the API path that lists the keys with a prefix.
func KeyListPath(prefix string) string { return kvPath + "?prefix=" + url.QueryEscape(prefix) }

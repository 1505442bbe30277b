package store

import (
	"net/url"
	"strings"
)

// KeyPath returns the path of the API that names a key. Every character with a meaning in a URL is escaped, and so are
// slashes, since an unescaped path with empty segments or dots is replaced by a shorter one on the way.
func KeyPath(key string) string {
	if key == "." || key == ".." {
		return keysPath + "/" + strings.ReplaceAll(key, ".", "%2E")
	}
	return keysPath + "/" + url.PathEscape(key)
}

// KeyListPath returns the path of the API that lists the keys with a prefix.
func KeyListPath(prefix string) string { return keysPath + "?prefix=" + url.QueryEscape(prefix) }

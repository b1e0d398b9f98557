package entry

import (
	"net/http"
	"strings"

	"leverdrum/dialect"
	"leverdrum/engine"
	"leverdrum/workspace"
)

// bearer begins the value of an Authorization header that carries a key.
const bearer = "Bearer "

// keysOf returns the keys that a request shows. Clients of chat send theirs as bearer tokens, too;
// with a plain service that header is between the caller and the service.
func keysOf(r *http.Request) []string {
	keys := r.Header.Values(dialect.Native.Key)
	if r.URL.Path != engine.ChatPath {
		return keys
	}
	for _, v := range r.Header.Values("Authorization") {
		if token, ok := strings.CutPrefix(v, bearer); ok {
			keys = append(keys[:len(keys):len(keys)], token)
		}
	}
	return keys
}

// nameOwner takes the keys off a request, which no backend server is to see, and names the workspace in their
// place. A caller's own word of whose it is goes, too.
func nameOwner(r *http.Request, owner *workspace.Workspace) {
	r.Header.Del(dialect.Native.Workspace)
	if owner == nil {
		return
	}
	r.Header.Del(dialect.Native.Key)
	if r.URL.Path == engine.ChatPath {
		r.Header.Del("Authorization")
	}
	r.Header.Set(dialect.Native.Workspace, owner.Name)
}

// urgencyOf returns the urgency of a workspace's requests, 0 the highest.
func urgencyOf(owner *workspace.Workspace) int {
	if owner == nil {
		return 0
	}
	return owner.Urgency
}

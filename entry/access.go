package entry

import (
	"net/http"
	"strings"

	"leverdrum/dialect"
	"leverdrum/engine"
	"leverdrum/workspace"
)

// bearer is the prefix of an Authorization header value that carries a key.
const bearer = "Bearer "

// presentedKeys returns the API keys that a request presents. Chat clients may also send theirs as
// bearer tokens. For a plain service, the Authorization header belongs to the caller and the service
// and is not read.
func presentedKeys(r *http.Request) []string {
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

// setWorkspaceHeader removes the API keys from a request, because no backend server may see them, and
// sends the workspace's name instead. A workspace header set by the caller is removed too.
func setWorkspaceHeader(r *http.Request, owner *workspace.Workspace) {
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

// urgencyOf returns the urgency of a workspace's requests; 0 is the most urgent.
func urgencyOf(owner *workspace.Workspace) int {
	if owner == nil {
		return 0
	}
	return owner.Urgency
}

package entry

import (
	"net/http"
	"strconv"
	"strings"

	"leverdrum/crasher"
)

// HeaderPromptParts lists the parts of a request's prompt in their order, as hexadecimal IDs of up to 64 bits that are separated by
// commas. Equal parts have equal IDs, the last part is the request's or its session's own. A part under which servers terminate is
// blocked, in all requests of the workspace for the same model or service.
const HeaderPromptParts = "X-Prompt-Parts"

// sharedParts returns the IDs of the parts that a request declares and may share with others. A list that is not valid declares none.
func sharedParts(h http.Header) (ids []uint64) {
	list := strings.Split(h.Get(HeaderPromptParts), ",")
	for _, item := range list[:min(len(list)-1, crasher.MaxParts)] {
		id, err := strconv.ParseUint(strings.TrimSpace(item), 16, 64)
		if err != nil {
			return nil
		}
		ids = append(ids, id)
	}
	return ids
}

// partScope is the service by which a request's prompt parts are known: those of two workspaces, or of a model and a service of the same
// name, are different.
func (j *job) partScope() string {
	scope := "model " + j.target.Name
	if j.target.Service != nil {
		scope = "service " + j.target.Name
	}
	if j.owner != nil {
		scope += " of " + j.owner.Name
	}
	return scope
}

// partPrints returns the fingerprints of the prompt parts that the request may share with others.
func (j *job) partPrints() []crasher.Fingerprint {
	return crasher.PartFingerprints(j.partScope(), sharedParts(j.attempt.Header))
}

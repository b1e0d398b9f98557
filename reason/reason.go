// Package reason defines the table of reasons for which leverdrum rejects or retries
// requests. Error bodies, counters and the documentation are generated from it.
package reason

import (
	"net/http"
	"time"
)

// Outcome is the result of a request.
type Outcome string

// Outcomes of a request.
const (
	// Done: the complete response was returned to the caller.
	Done Outcome = "done"
	// NotRun: no backend server can have acted on any byte of the request.
	NotRun Outcome = "not-run"
	// Failed: the backend server reported a failure.
	Failed Outcome = "failed"
	// Unknown: the request may have run.
	Unknown Outcome = "unknown"
)

// Audience is the group that a reason is reported to.
type Audience string

// Audiences of a reason.
const (
	Callers   Audience = "callers"
	Operators Audience = "operators"
	Boxes     Audience = "boxes"
	Retries   Audience = "retries"
)

// Reason is one row of the table.
type Reason struct {
	// Code is stable, so programs may compare it.
	Code string
	// Audience is who the reason is reported to.
	Audience Audience
	// Title is a short description.
	Title string
	// Remedy tells the audience what to do.
	Remedy string
	// Status is the HTTP status, or 0 if none is sent.
	Status int
	// Outcome is what the reason implies for the request.
	Outcome Outcome
	// RetryAfter is when to retry. 0 means not at all, or as described by the remedy.
	RetryAfter time.Duration
}

const second = time.Second

// Reasons reported to callers.
var (
	BadRequest          = add(Reason{"bad-request", Callers, "The request is malformed.", "Send a request as described in docs/CALLERS.md.", http.StatusBadRequest, NotRun, 0})
	BodyTooLarge        = add(Reason{"body-too-large", Callers, "The body exceeds the limit.", "Send a smaller body, or raise [entry] max-body.", http.StatusRequestEntityTooLarge, NotRun, 0})
	BodyMemoryFull      = add(Reason{"bodies-full", Callers, "The box has reached its memory limit for request bodies.", "Retry later, or use another box.", http.StatusServiceUnavailable, NotRun, 1 * second})
	UnknownModel        = add(Reason{"unknown-model", Callers, "The fleet file has no such model or adapter.", "See GET /v1/models.", http.StatusNotFound, NotRun, 0})
	UnknownService      = add(Reason{"unknown-service", Callers, "The fleet file has no such service.", "Check the path under /services/.", http.StatusNotFound, NotRun, 0})
	UnknownPath         = add(Reason{"unknown-path", Callers, "Nothing is served under this path.", "See docs/CALLERS.md.", http.StatusNotFound, NotRun, 0})
	UnknownRoute        = add(Reason{"unknown-route", Callers, "No route matches this host and path.", "Check the host and the path; `leverdrum status` shows the active configuration.", http.StatusNotFound, NotRun, 0})
	NoFleetFile         = add(Reason{"no-fleet", Callers, "No fleet file is active yet.", "Retry once operators have applied one.", http.StatusServiceUnavailable, NotRun, 5 * second})
	NotCurrent          = add(Reason{"not-current", Callers, "This box is disconnected from the cluster and may have an outdated configuration.", "Use another box.", http.StatusServiceUnavailable, NotRun, 1 * second})
	Stopping            = add(Reason{"stopping", Callers, "This box is shutting down.", "Use another box.", http.StatusServiceUnavailable, NotRun, 1 * second})
	NoAccess            = add(Reason{"no-access", Callers, "The request has no valid workspace key.", "Send the key from your operators exactly once; `leverdrum explain NAME` lists the digests of a workspace's keys.", http.StatusUnauthorized, NotRun, 0})
	OverQuota           = add(Reason{"over-quota", Callers, "The workspace has exhausted its quota.", "Retry after the time given in the response; `leverdrum explain NAME` shows the usage of a workspace.", http.StatusTooManyRequests, NotRun, 1 * second})
	ExceedsQuota        = add(Reason{"beyond-quota", Callers, "The request alone exceeds the workspace's quota.", "Send a smaller request, or have the quota raised.", http.StatusTooManyRequests, NotRun, 0})
	QuotaUnknown        = add(Reason{"quota-unsure", Callers, "The remaining quota of the workspace is unknown, because no other box can be reached.", "Retry later.", http.StatusServiceUnavailable, NotRun, 1 * second})
	NotResident         = add(Reason{"not-resident", Callers, "The model is not loaded anywhere yet.", "Retry later; `leverdrum explain` shows why.", http.StatusServiceUnavailable, NotRun, 2 * second})
	NoServer            = add(Reason{"no-server", Callers, "No backend server can accept the request now.", "Retry later.", http.StatusServiceUnavailable, NotRun, 1 * second})
	NoRegion            = add(Reason{"no-region", Callers, "No backend server is in a region in which the request may be served.", "Check the regions that the route and the workspace allow.", http.StatusServiceUnavailable, NotRun, 5 * second})
	VersionGone         = add(Reason{"version-gone", Callers, "No backend server of the software version that began the stream can continue it.", "Begin the stream anew.", http.StatusServiceUnavailable, NotRun, 1 * second})
	VersionNotResident  = add(Reason{"version-not-resident", Callers, "Backend servers of the software version that began the stream exist, but none has its model.", "Begin the stream anew, or retry later.", http.StatusServiceUnavailable, NotRun, 1 * second})
	VersionUnknown      = add(Reason{"version-unknown", Callers, "No box knows the software version of the server that began the stream, and its service has, or lately had, servers of several, or the box does not know yet whether it had.", "Begin the stream anew.", http.StatusServiceUnavailable, NotRun, 1 * second})
	ServersLimited      = add(Reason{"servers-limited", Callers, "The servers that could run the request have reached their limits on requests per second.", "Retry after the time given in the response; `leverdrum status` lists servers with a limit.", http.StatusServiceUnavailable, NotRun, 1 * second})
	ServersInBackoff    = add(Reason{"servers-resting", Callers, "The servers that could run the request rejected other requests and asked to back off.", "Retry after the time given in the response; `leverdrum status` lists servers in backoff.", http.StatusServiceUnavailable, NotRun, 1 * second})
	Overloaded          = add(Reason{"overloaded", Callers, "The request would miss its deadline.", "Retry later, or send fewer requests at once.", http.StatusServiceUnavailable, NotRun, 1 * second})
	OverFairShare       = add(Reason{"over-share", Callers, "The caller has more requests waiting than its fair share.", "Send fewer requests at once.", http.StatusTooManyRequests, NotRun, 1 * second})
	ServersFull         = add(Reason{"servers-full", Callers, "All backend servers that could run the request are brittle and full.", "Retry after the given time.", http.StatusServiceUnavailable, NotRun, 0})
	NoPath              = add(Reason{"no-path", Callers, "The box reaches no backend server, and no other box relays the request.", "Retry later, or use another box.", http.StatusServiceUnavailable, NotRun, 1 * second})
	BackendUnreachable  = add(Reason{"not-reached", Callers, "No backend server could be reached.", "Retry later.", http.StatusServiceUnavailable, NotRun, 1 * second})
	BackendRefused      = add(Reason{"backend-refused", Callers, "The backend server reported that it did not run the request.", "Retry later.", http.StatusServiceUnavailable, NotRun, 1 * second})
	OutlastsStop        = add(Reason{"outlasts-stop", Callers, "This box is shutting down, and the request may not end in time.", "Use another box.", http.StatusServiceUnavailable, NotRun, 1 * second})
	StopUnanswered      = add(Reason{"stop-unanswered", Callers, "This box shut down before the backend server had responded; the request may have run.", "Assume neither; retry at another box, with the same key if the call has one.", http.StatusGatewayTimeout, Unknown, 0})
	BackendDisconnected = add(Reason{"backend-broke", Callers, "The connection was lost before a response; the request may have run.", "Assume neither; retry with the same key if the call has one.", http.StatusBadGateway, Unknown, 0})
	BackendFailed       = add(Reason{"backend-failed", Callers, "The backend server failed to run the request.", "See its own response, which is passed on.", 0, Failed, 0})
	BackendUnproven     = add(Reason{"backend-unproven", Callers, "The backend server's response does not prove whether it ran the request.", "Assume neither; retry with the same key if the call has one.", http.StatusBadGateway, Unknown, 0})
	ResponseMemoryFull  = add(Reason{"responses-full", Callers, "The box has reached its memory limit for responses of backend servers; the request may have run.", "Assume neither; retry with the same key if the call has one.", http.StatusBadGateway, Unknown, 0})
	BackendTimeout      = add(Reason{"backend-late", Callers, "No response arrived within the deadline; the request may have run.", "Assume neither; retry with the same key if the call has one.", http.StatusGatewayTimeout, Unknown, 0})
	BackendUnresponsive = add(Reason{"backend-silent", Callers, "The backend server became unresponsive before a response; the request may have run.", "Assume neither; retry with the same key if the call has one.", http.StatusBadGateway, Unknown, 0})
	StreamInterrupted   = add(Reason{"stream-broke", Callers, "The stream was interrupted; the response is incomplete.", "Retry if the call may be repeated.", 0, Unknown, 0})
	CrashesServers      = add(Reason{"crashes-servers", Callers, "Several backend servers terminated while running this request; it is sent to no further ones.", "Do not send it again: change the request, or have its fault fixed. See docs/OPERATIONS.md.", http.StatusUnprocessableEntity, Failed, 0})
	CrashSuspected      = add(Reason{"crash-suspected", Callers, "Backend servers terminated while running this request, but it is not certain that it is the cause; it is sent to none for some seconds.", "Retry after the given time.", http.StatusServiceUnavailable, NotRun, 5 * second})
	KeyInProgress       = add(Reason{"key-in-progress", Callers, "A call with this key is in progress.", "Retry with the same key to get its response.", http.StatusConflict, Unknown, 1 * second})
	KeyUnknown          = add(Reason{"key-unknown", Callers, "A call with this key was sent; its result is unknown.", "It is never sent again; check the service.", http.StatusBadGateway, Unknown, 0})
	KeyDone             = add(Reason{"key-done", Callers, "The call with this key completed; its response was too large to store.", "Read the result from the service.", http.StatusConflict, Done, 0})
	KeyMismatch         = add(Reason{"key-mismatch", Callers, "This key was used with a different call.", "Use a new key for a new call.", http.StatusUnprocessableEntity, NotRun, 0})
	ClaimUnavailable    = add(Reason{"no-claim", Callers, "The boxes that store claims on the key cannot be reached.", "Retry with the same key.", http.StatusServiceUnavailable, NotRun, 1 * second})
)

// Reasons reported to operators.
var (
	FileInvalid    = add(Reason{"file-invalid", Operators, "The fleet file is invalid.", "Fix the listed errors; `leverdrum check` works offline.", http.StatusUnprocessableEntity, NotRun, 0})
	FileOlder      = add(Reason{"file-older", Operators, "A fleet file with a higher number is active.", "Give the file a number above the active one.", http.StatusConflict, NotRun, 0})
	FileConflict   = add(Reason{"file-conflict", Operators, "Another fleet file with this number was accepted.", "The response names the accepted file; read it back first.", http.StatusConflict, NotRun, 0})
	NoLeader       = add(Reason{"no-leader", Operators, "There is currently no leader.", "Retry later.", http.StatusServiceUnavailable, NotRun, 1 * second})
	ApplyUnknown   = add(Reason{"apply-unknown", Operators, "It is unknown whether the file was accepted.", "Send the same file again to get a definite result.", http.StatusGatewayTimeout, Unknown, 1 * second})
	DiskFull       = add(Reason{"disk-full", Operators, "The leader's data folder is full.", "Free disk space or raise [data] limit.", http.StatusInsufficientStorage, NotRun, 0})
	Busy           = add(Reason{"busy", Operators, "Too many operations are pending on the leader.", "Retry later.", http.StatusServiceUnavailable, NotRun, 1 * second})
	UnknownHall    = add(Reason{"unknown-hall", Operators, "No box and no backend server is in this data hall.", "Check its name; `leverdrum status` shows the halls of the boxes.", http.StatusNotFound, NotRun, 0})
	LevelTooLow    = add(Reason{"level-low", Operators, "The build of some box does not support this call yet.", "Retry once `leverdrum status` shows the newest level.", http.StatusServiceUnavailable, NotRun, 1 * second})
	RulingRejected = add(Reason{"ruling-rejected", Operators, "The ruling names no request or prompt part, or there are too many rulings.", "Check the fingerprint, or the service and the part; take back rulings that `leverdrum crashers` lists.", http.StatusBadRequest, NotRun, 0})
	NotFound       = add(Reason{"not-found", Operators, "There is no record of this.", "The number of records is limited; try another box, or later.", http.StatusNotFound, NotRun, 0})
)

// Reasons for which a box rejects another box.
var (
	PeerVersion        = add(Reason{"peer-version", Boxes, "The other box uses an incompatible protocol version.", "Upgrade one of them so that their versions overlap.", 0, "", 0})
	PeerLevel          = add(Reason{"peer-level", Boxes, "One of the two builds does not support the active level of the cluster.", "Start a build that supports it on the box that does not; `leverdrum status` shows the level and each box's build.", 0, "", 0})
	PeerCluster        = add(Reason{"peer-cluster", Boxes, "The other box belongs to another cluster.", "Check [cluster] name and the addresses of both boxes.", 0, "", 0})
	PeerName           = add(Reason{"peer-name", Boxes, "The certificate is not valid for the box's name.", "Issue a certificate for the name in [box].", 0, "", 0})
	PeerSelf           = add(Reason{"peer-self", Boxes, "A box with the same name as this box connected.", "Give each box a unique name.", 0, "", 0})
	PeerMalformed      = add(Reason{"peer-malformed", Boxes, "A frame was malformed or too large.", "Find out what connects to the box-to-box port.", 0, "", 0})
	PeerUnknownRequest = add(Reason{"peer-unknown-request", Boxes, "The other box sent an unknown request.", "Run the same version on both.", 0, "", 0})
	PeerTLS            = add(Reason{"peer-tls", Boxes, "The TLS handshake failed.", "Check the certificates and the authority on both sides.", 0, "", 0})
	PeerNotLeader      = add(Reason{"peer-not-leader", Boxes, "The requested box is not the leader.", "None; the caller retries.", 0, "", 0})
	PeerEpoch          = add(Reason{"peer-epoch", Boxes, "The two boxes have different member lists.", "None; the caller retries.", 0, "", 0})
)

// Reasons for which a request is retried.
var (
	RetryUnreachable  = add(Reason{"retry-unreached", Retries, "The backend server could not be reached; the request is retried on another.", "Check which servers are down.", 0, NotRun, 0})
	RetryRefused      = add(Reason{"retry-refused", Retries, "The backend server refused the request without running it; the request is retried on another.", "Check why it refuses.", 0, NotRun, 0})
	RetryBackoff      = add(Reason{"retry-resting", Retries, "The backend server rejected the request and asked to back off; the request is retried on another.", "Check why it is overloaded.", 0, NotRun, 0})
	RetryFailed       = add(Reason{"retry-failed", Retries, "The backend server failed to run a repeatable request.", "Check why it fails.", 0, Failed, 0})
	RetrySlow         = add(Reason{"retry-slow", Retries, "The backend server took far longer than others on a repeatable request.", "Check what slows it down.", 0, Unknown, 0})
	RetryMoved        = add(Reason{"retry-moved", Retries, "The first event of a repeatable request was late at its backend server and is expected sooner at another one.", "Check what slows the first server down.", 0, Unknown, 0})
	RetryInterrupted  = add(Reason{"retry-stream", Retries, "A stream was interrupted and continues on a server that resumes streams.", "See why it breaks.", 0, Unknown, 0})
	RetryDisconnected = add(Reason{"retry-broke", Retries, "The connection was lost before the response to a repeatable request.", "See why it breaks.", 0, Unknown, 0})
)

var table []Reason

func add(r Reason) *Reason {
	table = append(table, r)
	return &r
}

// All returns the table.
func All() []Reason { return table }

// ByCode returns the reason with the code, or nil.
func ByCode(code string) *Reason {
	for _, r := range table {
		if r.Code == code {
			return &r
		}
	}
	return nil
}

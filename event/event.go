// Package event defines the table of all events that leverdrum logs. A line is logged
// only on a state change; metrics count how often something happens. The
// documentation is generated from the table.
package event

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Event is one row of the table.
type Event struct {
	// Code is stable, so programs may match it.
	Code string
	// Level is the severity.
	Level zapcore.Level
	// Title is the message of the log line.
	Title string
	// Remedy tells operators what to do.
	Remedy string
}

// Events of a box.
var (
	Starting              = add(Event{"starting", zapcore.InfoLevel, "The process is starting and handles signals.", "Nothing; started follows."})
	Started               = add(Event{"started", zapcore.InfoLevel, "The box has started.", "Nothing."})
	Stopping              = add(Event{"stopping", zapcore.InfoLevel, "A planned shutdown begins.", "Nothing; stopped follows."})
	Stopped               = add(Event{"stopped", zapcore.InfoLevel, "The planned shutdown is complete; no request was interrupted.", "Nothing."})
	RequestsCutOff        = add(Event{"cut-off", zapcore.WarnLevel, "Requests were still in flight at the end of the shutdown. Those without a response were answered as unknown, streams were broken off; unanswered ones are a fault.", "Raise [entry] stop-timeout, and grace, above the longest deadline."})
	CannotStart           = add(Event{"cannot-start", zapcore.ErrorLevel, "The box cannot start.", "Fix what the error names."})
	FatalError            = add(Event{"cannot-go-on", zapcore.ErrorLevel, "The box cannot continue and exits.", "Check the disk that the error names and restart the box."})
	SettingsReloaded      = add(Event{"settings-read", zapcore.InfoLevel, "The settings were reloaded.", "Nothing; addresses of known boxes and the log level apply now, all other settings after a restart."})
	SettingsRejected      = add(Event{"settings-refused", zapcore.WarnLevel, "The changed settings are invalid; the old ones stay active.", "Fix what the error names and send SIGHUP."})
	PlainText             = add(Event{"plain-text", zapcore.WarnLevel, "Traffic between boxes and with operators is not encrypted, because of [peer] plain-text = anywhere.", "Set [tls] if the network is not trusted."})
	CertificatesReloaded  = add(Event{"certificates-taken", zapcore.InfoLevel, "New certificates were loaded.", "Nothing."})
	CertificatesRejected  = add(Event{"certificates-refused", zapcore.WarnLevel, "The changed certificates cannot be loaded; the old ones stay active.", "Fix the files; they are reloaded automatically."})
	TornRecord            = add(Event{"torn-record", zapcore.WarnLevel, "An unacknowledged last record was truncated from the log.", "Nothing; the box crashed during a write."})
	DataFolderFull        = add(Event{"data-folder-full", zapcore.WarnLevel, "The data folder is full; the member is paused.", "Free disk space or raise [data] limit."})
	FirstMembersDiffer    = add(Event{"first-members-differ", zapcore.ErrorLevel, "Two boxes have different first members in their settings and do not form a cluster.", "Give all first members the same seeds, or the same first-members."})
	ClusterFormed         = add(Event{"cluster-formed", zapcore.InfoLevel, "The first members have formed the cluster.", "Nothing; this happens once per cluster."})
	ClusterJoined         = add(Event{"cluster-joined", zapcore.InfoLevel, "The box has joined its cluster.", "Nothing."})
	BoxListed             = add(Event{"listed", zapcore.InfoLevel, "The replicated member list has the current data of the box.", "Nothing."})
	LeadershipChanged     = add(Event{"leadership-changed", zapcore.InfoLevel, "The box became leader or lost the leadership.", "Nothing, unless it happens often: then check the network and the disks of the voters."})
	LevelRaised           = add(Event{"level-raised", zapcore.InfoLevel, "The boxes have activated a higher feature level.", "Nothing; builds below the level are rejected from now on."})
	VotersChanging        = add(Event{"voters-changing", zapcore.InfoLevel, "A change of voters has started; the old voters are needed until it completes.", "Remove no other box before voters-changed."})
	VotersChanged         = add(Event{"voters-changed", zapcore.InfoLevel, "The change of voters is complete.", "Bring the replaced box back or remove it."})
	BoxRemoved            = add(Event{"box-forgotten", zapcore.InfoLevel, "An unresponsive box was removed from the member list.", "Nothing; it is added again when it returns."})
	UpdatesLost           = add(Event{"news-lost", zapcore.WarnLevel, "The box that sends the replicated state to this one sent no updates.", "Nothing, unless news-regained does not follow: check that the box named in parent is running and reachable."})
	UpdatesRestored       = add(Event{"news-regained", zapcore.InfoLevel, "The box receives updates of the replicated state again.", "Nothing; after is how long it received none."})
	CurrencySourceChanged = add(Event{"current-by", zapcore.InfoLevel, "The source by which the box knows that its state is current has changed.", "Nothing, unless by stays none: the box then rejects requests. known is the index of the newest fleet file that it knows of; if it is above file, that fleet file is not active here yet."})
	FleetFileApplied      = add(Event{"file-in-force", zapcore.InfoLevel, "The box has activated another fleet file.", "Nothing; agreed is when a leader accepted it, by the leader's clock, held how long this box had it before activating it, bytes its size."})
	OrderUnanswered       = add(Event{"order-unanswered", zapcore.WarnLevel, "A model server did not respond to an order.", "Nothing; its memory stays reserved until the server's state shows the result."})
)

// Events of orders.
var (
	OrderIssued = add(Event{"order-issued", zapcore.InfoLevel, "Placement has decided on an order.", "Nothing; why names the reason. An order that was not issued is decided again."})
	OrderClosed = add(Event{"order-closed", zapcore.InfoLevel, "The result of an order is known.", "Nothing, unless done is often false: see detail."})
)

// Events of announced backend servers.
var (
	ServerAnnounced     = add(Event{"server-announced", zapcore.InfoLevel, "The announcement of a backend server was committed.", "Nothing."})
	ServerWithdrew      = add(Event{"server-withdrew", zapcore.InfoLevel, "A backend server announced its termination.", "Nothing."})
	ServerLimited       = add(Event{"server-limited", zapcore.InfoLevel, "A backend server reports a changed request limit, or none any more.", "Check the server: it accepts at most limit requests per second from all boxes together; 0 means no limit."})
	LimitCommitted      = add(Event{"limit-agreed", zapcore.InfoLevel, "All boxes apply a changed limit of a backend server, or none any more.", "Check the server: it reported this in its responses."})
	LimitMalformed      = add(Event{"limit-malformed", zapcore.WarnLevel, "A backend server reports a limit that is malformed or out of range.", "Fix the server; limit is the limit applied, 0 if the report is ignored."})
	ServerInBackoff     = add(Event{"server-resting", zapcore.InfoLevel, "A backend server rejected a request and asked this box to back off.", "Nothing; if it recurs, check the server's load. rest is the requested backoff, request the rejected request."})
	ServerBackoffEnded  = add(Event{"server-rested", zapcore.InfoLevel, "A backend server accepts requests of this box again after a backoff.", "Nothing; rested is the total backoff that it requested, late how long after its end the server was probed."})
	ServerDraining      = add(Event{"server-draining", zapcore.InfoLevel, "A backend server reported in a response that it is draining.", "Nothing."})
	PushbackMalformed   = add(Event{"pushback-malformed", zapcore.WarnLevel, "A backend server's response has a backoff or draining notice that is malformed or out of range.", "Fix the server; malformed values are ignored."})
	ServerBrittle       = add(Event{"server-brittle", zapcore.WarnLevel, "A backend server reports that it falls over if it has to reject many requests.", "Check the server; rejections is how many in a second it tolerates. Boxes send it no more than it has room for, see docs/OPERATIONS.md."})
	ServerNotBrittle    = add(Event{"server-not-brittle", zapcore.InfoLevel, "A backend server no longer reports that it is brittle.", "Nothing; rejected is the number of requests of this box that it rejected meanwhile."})
	HallEvacuated       = add(Event{"hall-evacuated", zapcore.InfoLevel, "Operators started or ended the evacuation of a data hall.", "Nothing; during the evacuation the hall's backend servers get no requests or loads."})
	ServerSlow          = add(Event{"server-slow", zapcore.WarnLevel, "A backend server is much slower than the average one.", "Check the server; see docs/OPERATIONS.md. slowness is how many times longer it takes, samples the number of streams that the estimate is from."})
	ServerRecovered     = add(Event{"server-recovered", zapcore.InfoLevel, "A backend server is no longer slow.", "Nothing; slowness is how many times longer than the average server it takes, samples the number of streams that the estimate is from."})
	ServerFailing       = add(Event{"server-failing", zapcore.WarnLevel, "A backend server fails most requests of several boxes, which avoid it.", "Check the server; see docs/OPERATIONS.md. share is the share of recent attempts that failed, boxes the number of boxes that saw failures."})
	ServerWorking       = add(Event{"server-working", zapcore.InfoLevel, "A backend server that was judged failing is used again.", "Nothing; share is the share of recent attempts that failed, boxes the number of boxes that saw failures."})
	ServerLinksLost     = add(Event{"server-links-lost", zapcore.WarnLevel, "The box reaches no backend server; other boxes relay its requests.", "Check the network between this box and the servers; see docs/OPERATIONS.md. dials is the number of servers whose dials failed, after how long the box had reached the servers since it last regained them (0: always)."})
	ServerLinksRegained = add(Event{"server-links-regained", zapcore.InfoLevel, "The box reaches the backend servers again.", "Nothing, unless it happens often; after is how long it reached none."})
	NoRelay             = add(Event{"no-relay", zapcore.WarnLevel, "The box does not reach a backend server, and no other box relays its requests, which are rejected.", "Check the network between boxes and servers; logged at most once a second."})
	ConnectionsRefused  = add(Event{"connections-refused", zapcore.WarnLevel, "Callers' connections are refused because the box could not read their requests in time.", "Check whether the load balancer sends this box more than its share; logged at most once a minute for each reason, the metric leverdrum_connections_total counts all."})
	ServerUnresponsive  = add(Event{"server-silent", zapcore.InfoLevel, "A backend server has not been heard from for a while.", "Check that it is running and can reach a box."})
)

// Events of the load exchange.
var (
	LoadHub     = add(Event{"load-hub", zapcore.InfoLevel, "The box exchanges load with another hub.", "Nothing, unless it happens often: then check the network and the processor time of the boxes named in hub."})
	LoadIgnored = add(Event{"load-ignored", zapcore.WarnLevel, "Input of the load exchange was ignored.", "why names the reason: after a change of servers a few of unknown-server are normal; the metric leverdrum_load_ignored_total counts all."})
)

// Events of calls by the platform.
var (
	ConfigurationAccepted       = add(Event{"configuration-taken", zapcore.InfoLevel, "A configuration from the platform was acknowledged.", "Nothing; outcome says whether it changed anything."})
	ConfigurationUnacknowledged = add(Event{"configuration-unsure", zapcore.WarnLevel, "A configuration from the platform was not acknowledged.", "Send the same configuration again to get a definite result."})
	ConfigurationRead           = add(Event{"configuration-read", zapcore.InfoLevel, "The configuration was read back, or could not be.", "Nothing; confirming and writing show where the time was spent, error why the caller did not get all of it."})
	CallMalformed               = add(Event{"call-malformed", zapcore.WarnLevel, "A call was malformed and had no effect.", "Find out who sends it."})
)

// Events of requests.
var (
	RequestDone        = add(Event{"request-done", zapcore.DebugLevel, "A request was answered by its server.", "Nothing; waited, first and longest show where the time was spent."})
	RequestLate        = add(Event{"request-late", zapcore.InfoLevel, "A request was answered late.", "Look at cause, server, waited and behind; docs/OPERATIONS.md says what they mean. At most 5 lines a second; skipped is the number of late requests without a line since the last one. Not logged at level debug, where request-done has the same fields for each request."})
	StreamResumed      = add(Event{"stream-resumed", zapcore.InfoLevel, "A stream continues at a server.", "Nothing, unless began differs from version: then its events are of two software versions. began_at and began are the server that began it and its version, where they are known, known_by how: by a record of this box, by that of another (keeper), or since the service had a single version. At most 5 lines a second; skipped is the number of such streams without a line since the last one."})
	ResponseEndUnknown = add(Event{"response-end-unknown", zapcore.InfoLevel, "A response ended with its connection, without a length or chunks.", "Nothing if end is confirmed: life says what showed that the server went on (answered: a health check; open: a connection), and waited how long the end was held back. Else the response was retried, resumed or broken off: with life ended, see the logs of server; with life none, the box did not reach it in time. events is the number of its events, unfinished the bytes after the last of them. At most 5 lines a second; skipped is the number of such responses without a line since the last one."})
	ResponseUnproven   = add(Event{"response-unproven", zapcore.InfoLevel, "A response does not prove whether the server runs the attempt.", "Nothing, unless it happens often: then check the server, and what is between it and the boxes. owner is the attempt that the response belongs to, answers the request that it names, promised whether it says that it was not run. At most 5 lines a second; skipped is the number of such responses without a line since the last one."})
	RequestRefused     = add(Event{"request-refused", zapcore.InfoLevel, "A request was rejected before a server was selected.", "See its outcome in docs/REASONS.md; number is the configuration it was checked against."})
	RequestRetried     = add(Event{"request-retried", zapcore.InfoLevel, "An attempt of a request failed; the request is retried.", "Nothing; outcome is the result of the attempt, why the reason that permits a retry. print is the same for all attempts of a request."})
	RequestFailed      = add(Event{"request-failed", zapcore.InfoLevel, "A request ended without a complete response from a server.", "See its outcome in docs/REASONS.md and the logs of its server. print is the same for all attempts of a request."})
)

// Events of requests that crash backend servers.
var (
	CrashDetected   = add(Event{"crash-seen", zapcore.InfoLevel, "A backend server terminated while it ran requests of this box or a load.", "Nothing; prints lists them, weak those that had been running for a long time, parts the prompt parts of the others."})
	CrashExposed    = add(Event{"crash-exposure", zapcore.InfoLevel, "A backend server terminated while requests with the same prompt parts ran at others.", "Nothing; refuted lists the parts against which the termination is no evidence, kept the others: for how long requests with each had run there, and at a server that goes on."})
	CrasherBlocked  = add(Event{"crasher-held", zapcore.WarnLevel, "A request, or a part of prompts, is blocked from all servers because several of them terminated while running it.", "See docs/OPERATIONS.md: find its callers by the print or the part, and the cause in the servers' own logs."})
	SuspectRuled    = add(Event{"crasher-ruled", zapcore.WarnLevel, "An operator blocked or exempted a request or a part of prompts, or took that back.", "Nothing; `leverdrum crashers` lists what is in force."})
	VersionsRetired = add(Event{"versions-retired", zapcore.InfoLevel, "Streams of software versions that have left service can no longer be resumed.", "Nothing; complete tells whether the boxes know all versions that services lately had."})
	CrasherReleased = add(Event{"crasher-released", zapcore.InfoLevel, "A blocked request or part of prompts may be sent to a server again.", "Nothing; if another server terminates while running it, it is blocked for twice as long."})
)

var table []Event

func add(e Event) *Event {
	table = append(table, e)
	return &e
}

// All returns the table.
func All() []Event { return table }

// ErrorField returns a field with the message of err, without its stack trace.
func ErrorField(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}

// Log logs the event with its code.
func (e *Event) Log(logger *zap.Logger, fields ...zap.Field) {
	logger.Log(e.Level, e.Title, append(fields, zap.String("event", e.Code))...)
}

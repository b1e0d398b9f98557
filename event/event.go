// Package event is the table of everything that leverdrum logs. A line is logged
// only when a state changes; how often something happens is for the metrics. The
// docs are made from the table.
package event

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Event is one row of the table.
type Event struct {
	// Code is stable: programs may look for it.
	Code string
	// Level is how grave it is.
	Level zapcore.Level
	// Title is the line's message.
	Title string
	// Remedy says what to do about it.
	Remedy string
}

// The events.
var (
	Starting              = add(Event{"starting", zapcore.InfoLevel, "The process has begun and heeds signals.", "Nothing; it goes on with started."})
	Started               = add(Event{"started", zapcore.InfoLevel, "The box has started.", "Nothing."})
	Stopping              = add(Event{"stopping", zapcore.InfoLevel, "A planned stop begins.", "Nothing; it ends with stopped."})
	Stopped               = add(Event{"stopped", zapcore.InfoLevel, "The planned stop is done; nothing was cut off.", "Nothing."})
	RequestsCutOff        = add(Event{"cut-off", zapcore.WarnLevel, "Requests were cut off by the stop.", "Raise [entry] stop-timeout above the longest deadline."})
	CannotStart           = add(Event{"cannot-start", zapcore.ErrorLevel, "The box cannot start.", "Mend what the error names."})
	FatalError            = add(Event{"cannot-go-on", zapcore.ErrorLevel, "The box cannot go on and ends.", "Look at the disk that the error names; start the box again."})
	SettingsReloaded      = add(Event{"settings-read", zapcore.InfoLevel, "The settings were read again.", "Nothing; addresses of known boxes and the log level are in force, all else after a restart."})
	SettingsRejected      = add(Event{"settings-refused", zapcore.WarnLevel, "Changed settings have faults; the old ones stay in force.", "Mend what the error names and send SIGHUP."})
	PlainText             = add(Event{"plain-text", zapcore.WarnLevel, "Box-to-box and operators' traffic goes in plain text, by [peer] plain-text = anywhere.", "Set [tls] where the network is not trusted."})
	CertificatesReloaded  = add(Event{"certificates-taken", zapcore.InfoLevel, "New certificates are in use.", "Nothing."})
	CertificatesRejected  = add(Event{"certificates-refused", zapcore.WarnLevel, "Changed certificates cannot be used; the old ones stay in use.", "Mend the files; they are read again by themselves."})
	TornRecord            = add(Event{"torn-record", zapcore.WarnLevel, "An unacknowledged last record was cut off the log.", "Nothing: the box died while it wrote."})
	DataFolderFull        = add(Event{"data-folder-full", zapcore.WarnLevel, "The data folder is full; the member pauses.", "Free some space or raise [data] limit."})
	ClusterFormed         = add(Event{"cluster-formed", zapcore.InfoLevel, "The first members have formed the cluster.", "Nothing; it happens once in a cluster's life."})
	ClusterJoined         = add(Event{"cluster-joined", zapcore.InfoLevel, "The box is in its cluster.", "Nothing."})
	BoxListed             = add(Event{"listed", zapcore.InfoLevel, "The agreed list shows the box as it is.", "Nothing."})
	LeadershipChanged     = add(Event{"leadership-changed", zapcore.InfoLevel, "The box began or ceased to lead.", "Nothing, unless it happens often: then look at the network and disks of the voters."})
	LevelRaised           = add(Event{"level-raised", zapcore.InfoLevel, "What the boxes' builds have in common has grown, and is used.", "Nothing; builds below the level are refused from now on."})
	VotersChanging        = add(Event{"voters-changing", zapcore.InfoLevel, "A change of the voters has begun; the old ones are needed until it ends.", "Take no other box away before voters-changed."})
	VotersChanged         = add(Event{"voters-changed", zapcore.InfoLevel, "The change of the voters has ended.", "Bring the box that was replaced back, or take it away."})
	BoxRemoved            = add(Event{"box-forgotten", zapcore.InfoLevel, "A silent box was taken off the list.", "Nothing; it is listed again when it comes back."})
	UpdatesLost           = add(Event{"news-lost", zapcore.WarnLevel, "The box that this one has the agreed state from gave no news.", "Nothing, unless news-regained does not follow: see that the box named in parent runs and can be reached."})
	UpdatesRestored       = add(Event{"news-regained", zapcore.InfoLevel, "The box has news of the agreed state again.", "Nothing; after tells for how long it had none."})
	CurrencySourceChanged = add(Event{"current-by", zapcore.InfoLevel, "What shows the box that its state is current has changed.", "Nothing, unless by stays none: the box rejects requests then. known is the newest fleet file that it has heard of; one above file is not in force here."})
	FleetFileApplied      = add(Event{"file-in-force", zapcore.InfoLevel, "Another fleet file is in force on the box.", "Nothing; agreed is when a leader took it, by that box's clock, held how long this box had it before it served by it, bytes its size."})
	OrderUnanswered       = add(Event{"order-unanswered", zapcore.WarnLevel, "An order to a model server got no answer.", "Nothing: its room stays counted until the server's state settles it."})
)

// The events of orders.
var (
	OrderIssued = add(Event{"order-issued", zapcore.InfoLevel, "Placement decided on an order.", "Nothing; why names what decided it. One that was not issued is decided anew."})
	OrderClosed = add(Event{"order-closed", zapcore.InfoLevel, "It is known what became of an order.", "Nothing, unless done is false often: see detail."})
)

// The events of announced backend servers.
var (
	ServerAnnounced    = add(Event{"server-announced", zapcore.InfoLevel, "What a backend server says of itself was agreed.", "Nothing."})
	ServerWithdrew     = add(Event{"server-withdrew", zapcore.InfoLevel, "A backend server said that it is gone.", "Nothing."})
	ServerLimited      = add(Event{"server-limited", zapcore.InfoLevel, "A backend server names another limit of requests than before, or none any more.", "See the server: it takes no more than limit, in requests a second over all boxes; 0 is no limit."})
	LimitCommitted     = add(Event{"limit-agreed", zapcore.InfoLevel, "All boxes hold to another limit of a backend server, or to none any more.", "See the server: it said so in its answers."})
	LimitMalformed     = add(Event{"limit-malformed", zapcore.WarnLevel, "A backend server names a limit that cannot be read, or lies outside of what is taken.", "Mend the server; limit is what is held to, 0 where what it said is passed over."})
	ServerInBackoff    = add(Event{"server-resting", zapcore.InfoLevel, "A backend server turned a request away and wants no more from this box for a time.", "Nothing; if it recurs, see the server's load. rest is what it asked for, request the one that it answered."})
	ServerBackoffEnded = add(Event{"server-rested", zapcore.InfoLevel, "A backend server takes requests of this box again after its rest.", "Nothing; rested is how long it asked for in all, late how much later it was tried."})
	ServerDraining     = add(Event{"server-draining", zapcore.InfoLevel, "A backend server said in an answer that it is about to end.", "Nothing."})
	PushbackMalformed  = add(Event{"pushback-malformed", zapcore.WarnLevel, "A backend server's answer names a rest, or tells of its end, in a way that cannot be read or is out of range.", "Fix the server; what cannot be read is ignored."})
	HallEvacuated      = add(Event{"hall-evacuated", zapcore.InfoLevel, "Operators had a data hall evacuated, or took that back.", "Nothing; while it holds nothing goes to the hall's backend servers."})
	ServerUnresponsive = add(Event{"server-silent", zapcore.InfoLevel, "A backend server was not heard for a time.", "See whether it runs and reaches a box."})
)

// The events of the platform's calls.
var (
	ConfigurationAccepted       = add(Event{"configuration-taken", zapcore.InfoLevel, "A configuration was acknowledged.", "Nothing; outcome says whether it changed anything."})
	ConfigurationUnacknowledged = add(Event{"configuration-unsure", zapcore.WarnLevel, "A configuration was not acknowledged.", "Send the same one again; that settles it."})
	CallMalformed               = add(Event{"call-malformed", zapcore.WarnLevel, "A call could not be read and changed nothing.", "Find out who sends it."})
)

// The events of requests.
var (
	RequestDone    = add(Event{"request-done", zapcore.DebugLevel, "A request got its server's answer.", "Nothing; waited, first and longest tell where its time went."})
	RequestRefused = add(Event{"request-refused", zapcore.InfoLevel, "A request was refused before a server was looked for.", "See its outcome in docs/REASONS.md; number is the configuration that decided."})
	RequestRetried = add(Event{"request-retried", zapcore.InfoLevel, "A sending of a request failed; the request goes to a server again.", "Nothing; outcome tells what became of the sending, why what allowed another. print is the same for all attempts of one request."})
	RequestFailed  = add(Event{"request-failed", zapcore.InfoLevel, "A request ended without a server's whole answer.", "See its outcome in docs/REASONS.md and what its server did. print is the same for all attempts of one request."})
)

// The events of requests under which servers end.
var (
	CrashDetected   = add(Event{"crash-seen", zapcore.InfoLevel, "A backend server ended while requests of this box, or a load, were at it.", "Nothing; prints name them, weak those that had run for long."})
	CrasherBlocked  = add(Event{"crasher-held", zapcore.WarnLevel, "A request is kept from servers: they ended, one after another, while they ran it.", "See docs/OPERATIONS.md: find its caller by the print, and what is wrong with it by the servers' own logs."})
	CrasherReleased = add(Event{"crasher-released", zapcore.InfoLevel, "A request that was kept from servers may go to one again.", "Nothing; one more end under it and it is kept from them for twice the time."})
)

var table []Event

func add(e Event) *Event {
	table = append(table, e)
	return &e
}

// All returns the table.
func All() []Event { return table }

// ErrorField is the field of an error: its text alone, without the way that it took.
func ErrorField(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}

// Log writes the event's line, with its code.
func (e *Event) Log(log *zap.Logger, fields ...zap.Field) {
	log.Log(e.Level, e.Title, append(fields, zap.String("event", e.Code))...)
}

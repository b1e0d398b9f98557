package fleet

import (
	"slices"

	"leverdrum/internal/conf"
	"leverdrum/level"
)

// Schema lists all sections and keys of a fleet file.
var Schema = []conf.Section{
	{Kind: "fleet", Required: true, Description: "The file as a whole.", Keys: []conf.Key{
		{Name: "number", Type: conf.Int, Min: 1, Required: true, Description: "The file's number. A file replaces one of a lower number only."},
		{Name: "attainment-weight", Type: conf.Float, Default: "1", Description: "Value of one request per second that is answered on time."},
		{Name: "move-weight", Type: conf.Float, Default: "200", Description: "Cost of one move, in requests answered on time. 100 to 400 follows demand closely, 800 rarely moves; docs/DESIGN.md has the curve."},
		{Name: "affinity-slack", Type: conf.Float, Default: "0.5", Description: "How much busier, as a share of its capacity, the model server that caches a session's prompt prefix may be and still be preferred; 0 disables affinity."},
		{Name: "good-use", Type: conf.Float, Default: "0.8", Min: 0.01, Description: "Share of a model server's slots up to which responses are on time; demand above it moves copies."},
		{Name: "demand-lasts", Type: conf.Duration, Default: "5m", Description: "How long demand is assumed to last: the gain of a move is computed over that time, minus its cost during the load."},
		{Name: "loads-per-second", Type: conf.Float, Default: "2", Min: 0.01, Description: "Loads that the weight store accepts per second."},
		{Name: "loads-at-once", Type: conf.Int, Default: "8", Min: 1, Description: "Concurrent loads that the weight store serves at full speed."},
	}},
	{Kind: "hall", Named: true, Description: "A data hall.", Keys: []conf.Key{
		{Name: "region", Type: conf.Name, Default: "main", Description: "The region of the data hall."},
	}},
	{Kind: "class", Named: true, Description: "A service class of requests.", Keys: []conf.Key{
		{Name: "deadline", Type: conf.Duration, Required: true, Description: "Time from the arrival of a request to the end of its answer."},
		{Name: "first-token", Type: conf.Duration, Default: "0s", Description: "Time from the arrival of a request to the first event of its stream; 0 means the deadline."},
		{Name: "stall-after", Type: conf.Duration, Default: "2s", Description: "How long a stream may send nothing before it is resumed at another server, if servers resume streams; 0 means forever."},
		{Name: "priority", Type: conf.Int, Default: "0", Description: "Requests with a higher priority are served first."},
	}},
	{Kind: "kind", Named: true, Description: "A kind of model server.", Keys: []conf.Key{
		{Name: "checks-fences", Type: conf.Bool, Default: "false", Description: "Whether it rejects orders that are older than one it has received."},
		{Name: "order-late", Type: conf.Duration, Default: "30s", Description: "Maximum delay with which an order may still arrive."},
		{Name: "accelerators", Type: conf.Int, Default: "1", Min: 1, Description: "Accelerators in a server."},
		{Name: "memory", Type: conf.Bytes, Required: true, Description: "Memory of one accelerator."},
		{Name: "kv-reserve", Type: conf.Bytes, Default: "0B", Description: "Memory of one accelerator kept for KV cache."},
		{Name: "concurrency", Type: conf.Int, Default: "16", Min: 1, Description: "Requests that one server batches well."},
		{Name: "resumes-streams", Type: conf.Bool, Default: "false", Description: "Whether it numbers the events of its streams and resumes after the one given in Last-Event-Id."},
	}},
	{Kind: "server", Named: true, Description: "A model server.", Keys: []conf.Key{
		{Name: "address", Type: conf.Address, Required: true, Description: "Its address."},
		{Name: "hall", Type: conf.Name, Required: true, Description: "The data hall where it is located."},
		{Name: "kind", Type: conf.Name, Required: true, Description: "Its kind."},
		{Name: "leaving", Type: conf.Bool, Default: "false", Description: "Whether it gets no new requests."},
	}},
	{Kind: "model", Named: true, Description: "A model.", Keys: []conf.Key{
		{Name: "version", Type: conf.Name, Required: true, Description: "The version to serve."},
		{Name: "memory", Type: conf.Bytes, Required: true, Description: "Accelerator memory of one copy."},
		{Name: "class", Type: conf.Name, Required: true, Description: "Service class of its requests."},
		{Name: "priority", Type: conf.Int, Default: "0", Description: "Higher is placed first."},
		{Name: "halls", Type: conf.Names, Default: "", Description: "Data halls in which it may run; none: all."},
		{Name: "copies", Type: conf.Int, Default: "1", Min: 1, Description: "Minimum number of copies."},
		{Name: "max-copies", Type: conf.Int, Default: "4", Min: 1, Description: "Maximum number of copies."},
		{Name: "expected", Type: conf.Float, Default: "0", Description: "Expected requests per second until requests are observed."},
	}},
	{Kind: "adapter", Named: true, Description: "An adapter; it is resident beside each copy of its model.", Keys: []conf.Key{
		{Name: "model", Type: conf.Name, Required: true, Description: "The model that it adapts."},
		{Name: "version", Type: conf.Name, Required: true, Description: "The version to serve."},
		{Name: "memory", Type: conf.Bytes, Required: true, Description: "Accelerator memory that it takes."},
	}},
	{Kind: sectionWorkspace, Named: true, Description: "A customer's share of the system. If any are defined, each request must carry the key of one.", Keys: []conf.Key{
		{Name: "keys", Type: conf.Texts, Required: true, Description: "Its keys, or their digests as `leverdrum key` prints them. It has two while a key is being replaced."},
		{Name: "urgency", Type: conf.Int, Default: "0", Description: "Takes precedence over the priority of the class; 0 is the highest."},
		{Name: "rate", Type: conf.Float, Default: "0", Description: "Quota per second, over all boxes; 0: no limit."},
		{Name: "burst", Type: conf.Float, Default: "0", Description: "Additional quota beyond the rate."},
		{Name: "unit", Type: conf.Choice, Choices: []string{"requests", "tokens"}, Default: "requests", Description: "Unit of rate and burst. Tokens are those of the prompt plus the maximum that may be generated."},
		{Name: "plain-tokens", Type: conf.Float, Default: "0", Description: "Tokens charged for a request that does not state its tokens."},
	}},
	{Kind: "service", Named: true, Description: "A plain service, reached under /services/NAME/.", Keys: []conf.Key{
		{Name: "class", Type: conf.Name, Required: true, Description: "Service class of its requests."},
		{Name: "non-repeatable", Type: conf.Texts, Default: "", Description: "Calls that run at most once, as `METHOD /path`; a path ending in * matches all paths with that prefix."},
		{Name: "key-header", Type: conf.Name, Default: "Idempotency-Key", Description: "Header that carries a caller's key."},
		{Name: keyShareLoad, Type: conf.Choice, Choices: []string{"on", "off"}, Default: "off", Description: "Whether boxes share the load of its servers with each other."},
	}},
	{Kind: "instance", Named: true, Description: "A backend server of a service.", Keys: []conf.Key{
		{Name: "service", Type: conf.Name, Required: true, Description: "The service that it serves."},
		{Name: "address", Type: conf.Address, Required: true, Description: "Its address."},
		{Name: "hall", Type: conf.Name, Required: true, Description: "The data hall where it is located."},
		{Name: "leaving", Type: conf.Bool, Default: "false", Description: "Whether it gets no new requests."},
		{Name: "concurrency", Type: conf.Int, Default: "64", Min: 1, Description: "Concurrent requests that it serves well."},
	}},
}

// sectionWorkspace is the kind of section introduced at level.Workspaces.
const sectionWorkspace = "workspace"

// keyShareLoad is the key of services introduced at level.SharedLoad.
const keyShareLoad = "share-load"

// schemaAt returns the schema at a given level.
func schemaAt(l level.Level) []conf.Section {
	out := slices.Clone(Schema)
	if l < level.Workspaces {
		out = slices.DeleteFunc(out, func(s conf.Section) bool { return s.Kind == sectionWorkspace })
	}
	if l < level.SharedLoad {
		for i := range out {
			out[i].Keys = slices.DeleteFunc(slices.Clone(out[i].Keys), func(k conf.Key) bool { return k.Name == keyShareLoad })
		}
	}
	return out
}

package fleet

import (
	"slices"

	"leverdrum/internal/conf"
	"leverdrum/level"
)

// Schema is the table of all keys of a fleet file.
var Schema = []conf.Section{
	{Kind: "fleet", Required: true, Description: "The file as a whole.", Keys: []conf.Key{
		{Name: "number", Type: conf.Int, Min: 1, Required: true, Description: "The file's number. A file replaces one of a lower number only."},
		{Name: "attainment-weight", Type: conf.Float, Default: "1", Description: "Worth of one request a second answered in time."},
		{Name: "move-weight", Type: conf.Float, Default: "200", Description: "Price of one move, in requests answered in time. 100 to 400 follows demand closely, 800 moves little; docs/DESIGN.md has the curve."},
		{Name: "affinity-slack", Type: conf.Float, Default: "0.5", Description: "How much busier, as a share of its size, the model server that holds a session's prompt prefix may be and still be taken; 0 turns affinity off."},
		{Name: "good-use", Type: conf.Float, Default: "0.8", Min: 0.01, Description: "Share of a model server's places up to which answers come in time; demand above it moves copies."},
		{Name: "demand-lasts", Type: conf.Duration, Default: "5m", Description: "How long demand is taken to last: what a move gains is reckoned over that time, and what it costs while the load lasts is taken off."},
		{Name: "loads-per-second", Type: conf.Float, Default: "2", Min: 0.01, Description: "Loads that the weight store takes a second."},
		{Name: "loads-at-once", Type: conf.Int, Default: "8", Min: 1, Description: "Loads that the weight store serves at full speed at once."},
	}},
	{Kind: "hall", Named: true, Description: "A data hall.", Keys: []conf.Key{
		{Name: "region", Type: conf.Name, Default: "main", Description: "The region that it belongs to."},
	}},
	{Kind: "class", Named: true, Description: "A service class of requests.", Keys: []conf.Key{
		{Name: "deadline", Type: conf.Duration, Required: true, Description: "Time from the arrival of a request to the end of its answer."},
		{Name: "first-token", Type: conf.Duration, Default: "0s", Description: "Time from the arrival of a request to the first event of its stream; 0 means the deadline."},
		{Name: "stall-after", Type: conf.Duration, Default: "2s", Description: "How long a stream may be silent before it is continued at another server, where servers resume streams; 0 means for ever."},
		{Name: "priority", Type: conf.Int, Default: "0", Description: "Higher goes first."},
	}},
	{Kind: "kind", Named: true, Description: "A kind of model server.", Keys: []conf.Key{
		{Name: "checks-fences", Type: conf.Bool, Default: "false", Description: "Whether it refuses orders behind a newer one."},
		{Name: "order-late", Type: conf.Duration, Default: "30s", Description: "How late an order may still arrive."},
		{Name: "accelerators", Type: conf.Int, Default: "1", Min: 1, Description: "Accelerators in a server."},
		{Name: "memory", Type: conf.Bytes, Required: true, Description: "Memory of one accelerator."},
		{Name: "kv-reserve", Type: conf.Bytes, Default: "0B", Description: "Memory of one accelerator kept for KV cache."},
		{Name: "concurrency", Type: conf.Int, Default: "16", Min: 1, Description: "Requests that one server batches well."},
		{Name: "resumes-streams", Type: conf.Bool, Default: "false", Description: "Whether it numbers the events of its streams and goes on behind the one that Last-Event-Id names."},
	}},
	{Kind: "server", Named: true, Description: "A model server.", Keys: []conf.Key{
		{Name: "address", Type: conf.Address, Required: true, Description: "Its address."},
		{Name: "hall", Type: conf.Name, Required: true, Description: "The data hall that it stands in."},
		{Name: "kind", Type: conf.Name, Required: true, Description: "Its kind."},
		{Name: "leaving", Type: conf.Bool, Default: "false", Description: "Whether it is to get no new work."},
	}},
	{Kind: "model", Named: true, Description: "A model.", Keys: []conf.Key{
		{Name: "version", Type: conf.Name, Required: true, Description: "The version to serve."},
		{Name: "memory", Type: conf.Bytes, Required: true, Description: "Accelerator memory of one copy."},
		{Name: "class", Type: conf.Name, Required: true, Description: "Service class of its requests."},
		{Name: "priority", Type: conf.Int, Default: "0", Description: "Higher is placed first."},
		{Name: "halls", Type: conf.Names, Default: "", Description: "Where it may run; none: anywhere."},
		{Name: "copies", Type: conf.Int, Default: "1", Min: 1, Description: "Least number of copies."},
		{Name: "max-copies", Type: conf.Int, Default: "4", Min: 1, Description: "Most copies."},
		{Name: "expected", Type: conf.Float, Default: "0", Description: "Requests a second expected before any were seen."},
	}},
	{Kind: "adapter", Named: true, Description: "An adapter; it is resident beside each copy of its model.", Keys: []conf.Key{
		{Name: "model", Type: conf.Name, Required: true, Description: "The model that it adapts."},
		{Name: "version", Type: conf.Name, Required: true, Description: "The version to serve."},
		{Name: "memory", Type: conf.Bytes, Required: true, Description: "Accelerator memory that it takes."},
	}},
	{Kind: sectionWorkspace, Named: true, Description: "A customer's share of the system. Where there is one, each request shows the key of one.", Keys: []conf.Key{
		{Name: "keys", Type: conf.Texts, Required: true, Description: "The keys that open it, or their digests as `leverdrum key` prints them. While keys are replaced it has two."},
		{Name: "urgency", Type: conf.Int, Default: "0", Description: "Goes before the priority of the class; 0 is the highest."},
		{Name: "rate", Type: conf.Float, Default: "0", Description: "What it may use a second, over all boxes; 0: no limit."},
		{Name: "burst", Type: conf.Float, Default: "0", Description: "What it may use beyond the rate."},
		{Name: "unit", Type: conf.Choice, Choices: []string{"requests", "tokens"}, Default: "requests", Description: "What rate and burst are counted in. Tokens are those of the prompt and the most that may be produced."},
		{Name: "plain-tokens", Type: conf.Float, Default: "0", Description: "What a request that does not tell its tokens counts as."},
	}},
	{Kind: "service", Named: true, Description: "A plain service, reached under /services/NAME/.", Keys: []conf.Key{
		{Name: "class", Type: conf.Name, Required: true, Description: "Service class of its requests."},
		{Name: "non-repeatable", Type: conf.Texts, Default: "", Description: "Calls that run at most once, as `METHOD /path`; a path ending in * covers what begins so."},
		{Name: "key-header", Type: conf.Name, Default: "Idempotency-Key", Description: "Header that carries a caller's key."},
	}},
	{Kind: "instance", Named: true, Description: "A backend server of a service.", Keys: []conf.Key{
		{Name: "service", Type: conf.Name, Required: true, Description: "The service that it serves."},
		{Name: "address", Type: conf.Address, Required: true, Description: "Its address."},
		{Name: "hall", Type: conf.Name, Required: true, Description: "The data hall that it stands in."},
		{Name: "leaving", Type: conf.Bool, Default: "false", Description: "Whether it is to get no new work."},
		{Name: "concurrency", Type: conf.Int, Default: "64", Min: 1, Description: "Requests that it serves well at once."},
	}},
}

// sectionWorkspace is the kind of section that came with level.Workspaces.
const sectionWorkspace = "workspace"

// schemaAt is the table of keys that a level has.
func schemaAt(l level.Level) []conf.Section {
	if l >= level.Workspaces {
		return Schema
	}
	return slices.DeleteFunc(slices.Clone(Schema), func(s conf.Section) bool { return s.Kind == sectionWorkspace })
}

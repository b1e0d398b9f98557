// Package daemon implements the command line of a box: it reads the settings,
// runs the box, and stops it on a signal.
package daemon

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"leverdrum/box"
	"leverdrum/certs"
	"leverdrum/event"
	"leverdrum/internal/build"
	"leverdrum/level"
	"leverdrum/logline"
	"leverdrum/peer"
	"leverdrum/settings"
)

// Main runs the daemon's command line and returns the exit status: 0 after a
// planned stop, 1 if the box could not start or failed later, 2 for an invalid
// command line or invalid settings, 3 if a planned stop aborted requests.
func Main() int {
	commander := subcommands.NewCommander(flag.CommandLine, "leverdrumd")
	commander.Register(commander.HelpCommand(), "")
	commander.Register(&runCommand{}, "")
	commander.Register(&checkCommand{}, "")
	commander.Register(&versionCommand{}, "")
	flag.Parse()
	return int(commander.Execute(context.Background()))
}

// exitRequestsAborted supplements the exit statuses of package subcommands.
const exitRequestsAborted subcommands.ExitStatus = 3

func loadSettings(f *flag.FlagSet, path string) (*settings.Settings, bool) {
	if path == "" || f.NArg() > 1 {
		fmt.Fprintln(os.Stderr, "exactly one settings file is required")
		return nil, false
	}
	s, err := settings.Load(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return nil, false
	}
	return s, true
}

type checkCommand struct{}

func (*checkCommand) Name() string             { return "check" }
func (*checkCommand) Synopsis() string         { return "validate a settings file" }
func (*checkCommand) Usage() string            { return "check FILE\n  Lists all faults of the file.\n" }
func (*checkCommand) SetFlags(_ *flag.FlagSet) {}

func (*checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if _, ok := loadSettings(f, f.Arg(0)); !ok {
		return subcommands.ExitUsageError
	}
	fmt.Println("ok")
	return subcommands.ExitSuccess
}

type runCommand struct{ variable string }

func (*runCommand) Name() string     { return "run" }
func (*runCommand) Synopsis() string { return "run a box with the given settings file" }
func (*runCommand) Usage() string {
	return "run FILE | run -settings-variable NAME\n  Runs until SIGTERM or SIGINT.\n"
}

func (c *runCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.variable, "settings-variable", "", "environment variable that holds the path of the settings file")
}

// path returns the settings file from the environment variable if one is given, otherwise from the arguments.
func (c *runCommand) path(f *flag.FlagSet) string {
	if c.variable != "" {
		return os.Getenv(c.variable)
	}
	return f.Arg(0)
}

// signals receives the process's signals. Each kind has its own channel, so that a full
// channel only drops repetitions of the same kind.
type signals struct{ stop, reload chan os.Signal }

// notifySignals starts the delivery of signals. Before this call a SIGHUP terminates the
// process.
func notifySignals() signals {
	s := signals{make(chan os.Signal, 1), make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

// await blocks until a stop signal, for which it returns nil, or a fatal error of the
// box, which it returns. It calls onReload at each SIGHUP.
func (s signals) await(fatal <-chan error, onReload func()) error {
	for {
		select {
		case err := <-fatal:
			return err
		case <-s.stop:
			return nil
		case <-s.reload:
			onReload()
		}
	}
}

// reload returns a function that reloads the settings file. Settings that cannot change
// while the box runs keep their values; invalid settings change nothing.
func reload(b *box.Box, path string, log *zap.Logger) func() {
	return func() {
		next, err := settings.Load(path)
		if err != nil {
			event.SettingsRejected.Log(log, event.ErrorField(err))
			return
		}
		b.Reload(next)
		event.SettingsReloaded.Log(log)
	}
}

func (c *runCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	sigs := notifySignals()
	s, ok := loadSettings(f, c.path(f))
	if !ok {
		return subcommands.ExitUsageError
	}
	if s.MemoryLimit > 0 {
		go adjustGC(s.MemoryLimit)
	}
	log := newLog(s)
	defer func() { _ = log.Sync() }()
	return run(s, c.path(f), sigs, log)
}

// newLog returns a logger that writes JSON lines to standard output and never blocks its callers.
func newLog(s *settings.Settings) *zap.Logger {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	core := logline.Core(zapcore.NewJSONEncoder(config), logline.New(os.Stdout), logLevel(s.LogLevel))
	return zap.New(core).With(zap.String("box", s.Box), zap.String("hall", s.Hall))
}

func logLevel(name string) zapcore.Level {
	l, err := zapcore.ParseLevel(name)
	if err != nil {
		return zapcore.InfoLevel
	}
	return l
}

func openTLS(s *settings.Settings, log *zap.Logger, done <-chan struct{}) (peer.TLS, error) {
	if !s.TLS.Enabled() {
		if s.AllowPlaintext {
			event.PlainText.Log(log)
		}
		return peer.Plaintext{}, nil
	}
	source, err := certs.Open(certs.Files(s.TLS), log)
	if err != nil {
		return nil, err
	}
	go source.Watch(done)
	return source, nil
}

func run(s *settings.Settings, path string, sigs signals, log *zap.Logger) subcommands.ExitStatus {
	done := make(chan struct{})
	defer close(done)
	event.Starting.Log(log, zap.String("build", build.Name()), zap.Stringer("knows", level.Newest))
	tls, err := openTLS(s, log, done)
	if err != nil {
		event.CannotStart.Log(log, event.ErrorField(err))
		return subcommands.ExitFailure
	}
	b, err := box.Start(s, tls, log)
	if err != nil {
		event.CannotStart.Log(log, event.ErrorField(err))
		return subcommands.ExitFailure
	}
	event.Started.Log(log, zap.Strings("roles", s.Roles))
	if err := sigs.await(b.Fatal(), reload(b, path, log)); err != nil {
		event.FatalError.Log(log, event.ErrorField(err))
		return subcommands.ExitFailure
	}
	if err := b.Stop(); err != nil {
		return exitRequestsAborted
	}
	event.Stopped.Log(log)
	return subcommands.ExitSuccess
}

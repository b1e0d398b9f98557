// Package daemon is the command line of a box: it reads the settings, starts
// the box, and stops it on a signal.
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
// planned stop, 1 when the box could not start or go on, 2 for a wrong command
// line or faulty settings, 3 when a planned stop cut requests off.
func Main() int {
	commander := subcommands.NewCommander(flag.CommandLine, "leverdrumd")
	commander.Register(commander.HelpCommand(), "")
	commander.Register(&runCommand{}, "")
	commander.Register(&checkCommand{}, "")
	commander.Register(&versionCommand{}, "")
	flag.Parse()
	return int(commander.Execute(context.Background()))
}

// Exit statuses beside those of package subcommands.
const exitCutOff subcommands.ExitStatus = 3

func load(f *flag.FlagSet, path string) (*settings.Settings, bool) {
	if path == "" || f.NArg() > 1 {
		fmt.Fprintln(os.Stderr, "one settings file must be named")
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
func (*checkCommand) Synopsis() string         { return "check a settings file" }
func (*checkCommand) Usage() string            { return "check FILE\n  Lists every fault of the file.\n" }
func (*checkCommand) SetFlags(_ *flag.FlagSet) {}

func (*checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if _, ok := load(f, f.Arg(0)); !ok {
		return subcommands.ExitUsageError
	}
	fmt.Println("ok")
	return subcommands.ExitSuccess
}

type runCommand struct{ variable string }

func (*runCommand) Name() string     { return "run" }
func (*runCommand) Synopsis() string { return "run the box of a settings file" }
func (*runCommand) Usage() string {
	return "run FILE | run -settings-variable NAME\n  Runs until SIGTERM or SIGINT.\n"
}

func (c *runCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.variable, "settings-variable", "", "environment variable that names the settings file")
}

// path returns the settings file that is named, or that the variable names.
func (c *runCommand) path(f *flag.FlagSet) string {
	if c.variable != "" {
		return os.Getenv(c.variable)
	}
	return f.Arg(0)
}

// signals are what the process was sent. Each kind has a channel of its own: what a
// full channel would drop is then only a repetition.
type signals struct{ stop, again chan os.Signal }

// catch heeds signals from now on. A SIGHUP that comes before would end the process.
func catch() signals {
	s := signals{make(chan os.Signal, 1), make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.again, syscall.SIGHUP)
	return s
}

// await returns nil at a signal to stop, or why the box cannot go on. At SIGHUP it
// calls again.
func (s signals) await(fatal <-chan error, again func()) error {
	for {
		select {
		case err := <-fatal:
			return err
		case <-s.stop:
			return nil
		case <-s.again:
			again()
		}
	}
}

// reload reads the settings again. What cannot change while a box runs stays as it
// is; faulty settings change nothing.
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
	sent := catch()
	s, ok := load(f, c.path(f))
	if !ok {
		return subcommands.ExitUsageError
	}
	if s.MemoryLimit > 0 {
		go keepMemory(s.MemoryLimit)
	}
	log := newLog(s)
	defer func() { _ = log.Sync() }()
	return run(s, c.path(f), sent, log)
}

// newLog writes JSON lines to standard output, without ever holding anybody up.
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

func run(s *settings.Settings, path string, sent signals, log *zap.Logger) subcommands.ExitStatus {
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
	if err := sent.await(b.Fatal(), reload(b, path, log)); err != nil {
		event.FatalError.Log(log, event.ErrorField(err))
		return subcommands.ExitFailure
	}
	if err := b.Stop(); err != nil {
		return exitCutOff
	}
	event.Stopped.Log(log)
	return subcommands.ExitSuccess
}

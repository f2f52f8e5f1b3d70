package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"wheatlane/internal/config"
	"wheatlane/internal/emulator/changelogserver"
	"wheatlane/internal/emulator/client"
	"wheatlane/internal/emulator/cluster"
	"wheatlane/internal/emulator/collector"
	"wheatlane/internal/emulator/conformance"
	"wheatlane/internal/emulator/engine"
	"wheatlane/internal/graphite"
	"wheatlane/internal/operatorconfig"
	"wheatlane/internal/service"
)

// The output files of the demo.
const (
	configFile    = "config.json"
	operatorFile  = "operator.json"
	recordingFile = "figures.zst"
	reportFile    = "report.html"
	logFile       = "broker.log"
)

const (
	directoryPermissions = 0o755
	filePermissions      = 0o644
)

// configVariable is the environment variable with the path of the broker's configuration file.
const configVariable = "RELAY_CONFIG"

// classes are the request classes of the load. Their rates are fractions of Options.Rate; their times are those of the
// deployment.
var classes = []client.Class{
	{
		Engine: cluster.Classes[0], Rate: 0.80,
		LatencyObjective: 500 * time.Millisecond, Timeout: 2 * time.Second,
	},
	{
		Engine: cluster.Classes[1], Rate: 0.14,
		LatencyObjective: 3875 * time.Millisecond, Timeout: 20 * time.Second,
	},
	{
		Engine: cluster.Classes[2], Rate: 0.06,
		LatencyObjective: 8700 * time.Millisecond, Timeout: 25 * time.Second, OrderKeys: 40,
	},
}

const (
	dataSets        = 24
	maxOpenRequests = 256
	maxRetries      = 2
)

// rules configures the conformance checker.
var rules = conformance.Rules{
	DrainGrace: 500 * time.Millisecond, Slack: 50 * time.Millisecond, MaxAttempts: 4,
}

// engineObserver records the attempts at engines in the checker.
type engineObserver struct{ checker *conformance.Checker }

func (o engineObserver) AttemptReceived(r engine.Attempt) {
	o.checker.AttemptReceived(r.Engine, r.RequestID, r.ReceivedAt)
}

func (o engineObserver) AttemptEnded(engine, requestID string, at time.Time) {
	o.checker.AttemptEnded(engine, requestID, at)
}

// endpointPublished records a delivered change of an endpoint in the checker.
func (d *demonstration) endpointPublished(endpoint changelogserver.Endpoint, at time.Time) {
	if endpoint.Health == changelogserver.InService {
		d.checker.EngineInService(endpoint.ID)
	} else {
		d.checker.EngineDraining(endpoint.ID, at)
	}
}

// createEmulators creates the output directory, the checker and the emulators that the broker connects to.
func (d *demonstration) createEmulators() error {
	if err := os.MkdirAll(d.options.Dir, directoryPermissions); err != nil {
		return fmt.Errorf("demo: create output directory: %w", err)
	}
	d.checker = conformance.New(rules)
	var err error
	publish := func(endpoint changelogserver.Endpoint) error {
		d.changes.Publish(endpoint)
		return nil
	}
	d.engines, err = cluster.New(d.options.Engines, engineObserver{d.checker}, publish)
	if err != nil {
		return err
	}
	d.changes, err = changelogserver.New("127.0.0.1:0", d.engines.Endpoints(), d.endpointPublished)
	if err != nil {
		return err
	}
	file, err := d.create(recordingFile)
	if err != nil {
		return err
	}
	if d.recording, err = collector.NewRecording(file); err != nil {
		return err
	}
	d.reconciler = collector.NewReconciler(d.recording.Add)
	format := graphite.PathFormat{Prefix: "wheatlane", Tags: true}
	d.carbon, err = collector.NewCarbon("127.0.0.1:0", format, false, d.reconciler)
	return err
}

// createBroker writes the broker's configuration files, loads them as the program does, and creates the broker and its
// load generator.
func (d *demonstration) createBroker(ctx context.Context, logs io.Writer) error {
	cfg, err := d.writeConfig()
	if err != nil {
		return err
	}
	operator, err := d.writeOperatorConfig()
	if err != nil {
		return err
	}
	if d.broker, err = service.New(ctx, cfg, operator, zap.New(newLogCore(logs))); err != nil {
		return err
	}
	scaled := make([]client.Class, len(classes))
	for i, c := range classes {
		c.Rate *= d.options.Rate
		scaled[i] = c
	}
	d.load = client.New(client.Config{
		Addr: d.broker.Server.Addr().String(), Classes: scaled, Tenants: cluster.Tenants, DataSets: dataSets,
		Seed: d.options.Seed, MaxOpen: maxOpenRequests, Retries: maxRetries,
	}, d.checker)
	return nil
}

func (d *demonstration) writeConfig() (config.Config, error) {
	text, err := cluster.Configuration("demo", d.options.Seed, d.changes)
	if err != nil {
		return config.Config{}, err
	}
	path, err := d.write(configFile, text)
	if err != nil {
		return config.Config{}, err
	}
	return config.Load(func(name string) string {
		if name == configVariable {
			return path
		}
		return ""
	})
}

// operatorConfigFormat is the operator's file; its parameter is the address of the collector.
const operatorConfigFormat = `{
  "telemetry": {
    "interval_ms": 1000,
    "graphite": [{"name": "demo", "address": %q, "tags": true}]
  }
}
`

func (d *demonstration) writeOperatorConfig() (*operatorconfig.File, error) {
	path, err := d.write(operatorFile, fmt.Appendf(nil, operatorConfigFormat, d.carbon.Addr()))
	if err != nil {
		return nil, err
	}
	return operatorconfig.Load(path)
}

func (d *demonstration) path(name string) string { return filepath.Join(d.options.Dir, name) }

// write writes an output file and returns its path.
func (d *demonstration) write(name string, text []byte) (path string, err error) {
	if err := os.WriteFile(d.path(name), text, filePermissions); err != nil {
		return "", fmt.Errorf("demo: write output file: %w", err)
	}
	return d.path(name), nil
}

// create creates an output file.
func (d *demonstration) create(name string) (*os.File, error) {
	file, err := os.Create(d.path(name))
	if err != nil {
		return nil, fmt.Errorf("demo: create output file: %w", err)
	}
	return file, nil
}

// lockedWriter makes a writer safe for concurrent use.
type lockedWriter struct {
	mu sync.Mutex
	w  io.Writer
}

func (l *lockedWriter) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.w.Write(p)
}

// newLogCore returns a core that writes the broker's log in the program's format.
func newLogCore(w io.Writer) zapcore.Core {
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	return zapcore.NewCore(encoder, zapcore.AddSync(&lockedWriter{w: w}), zap.InfoLevel)
}

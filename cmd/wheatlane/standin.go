package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"wheatlane/internal/collectd"
	"wheatlane/internal/graphite"
	"wheatlane/internal/standin/collector"
)

func standinCommand() *cobra.Command {
	return group("standin", "Play a system that the broker talks to, on this machine, with faults",
		standinGraphite(), standinCollectd())
}

// standin is what stand-ins for collectors share.
type standin struct {
	listen, record, faults string
	most                   time.Duration
}

func (s *standin) flags(c *cobra.Command, listen string) {
	c.Flags().StringVar(&s.listen, "listen", listen, "address and port")
	c.Flags().StringVar(&s.record, "record", "", "file to write what comes to, for 'wheatlane report'")
	c.Flags().StringVar(&s.faults, "faults", "", "what to do when, as in 30s:gone,90s:serve; modes: serve, gone, mute, slow, tear (Graphite), lossy, shuffle (collectd), empty")
	c.Flags().DurationVar(&s.most, "for", time.Hour, "end after this time at the latest")
}

// step is a change of mode.
type step struct {
	at   time.Duration
	mode collector.Mode
}

const emptied collector.Mode = "empty" // forget what came, as one that starts again without its disk

func parseFaults(text string) (all []step, err error) {
	if text == "" {
		return nil, nil
	}
	modes := map[collector.Mode]bool{collector.Serve: true, collector.Gone: true, collector.Mute: true, collector.Slow: true,
		collector.Tear: true, collector.Lossy: true, collector.Shuffle: true, emptied: true}
	for part := range strings.SplitSeq(text, ",") {
		when, mode, _ := strings.Cut(part, ":")
		at, err := time.ParseDuration(when)
		if err != nil || !modes[collector.Mode(mode)] || len(all) > 0 && at < all[len(all)-1].at {
			return nil, fmt.Errorf("faults: %q is no TIME:MODE, or comes before the one ahead of it", part)
		}
		all = append(all, step{at, collector.Mode(mode)})
	}
	return all, nil
}

// run plays a collector until a signal or its time, then says what came.
func (s *standin) run(c *cobra.Command, ledger *collector.Ledger, recording *collector.Recording, addr string,
	set func(collector.Mode), serve func(context.Context) error) error {
	steps, err := parseFaults(s.faults)
	if err != nil {
		return &usageError{c.CommandPath(), err}
	}
	ctx, cancel := signal.NotifyContext(c.Context(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	ctx, stop := context.WithTimeout(ctx, s.most)
	defer stop()
	fmt.Fprintln(c.OutOrStdout(), "listening on", addr)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return serve(ctx) })
	g.Go(func() error {
		began := time.Now()
		for _, st := range steps {
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(time.Until(began.Add(st.at))):
			}
			fmt.Fprintln(c.OutOrStdout(), st.at, st.mode)
			if st.mode == emptied {
				ledger.Empty()
				continue
			}
			set(st.mode)
		}
		return nil
	})
	err = g.Wait()
	if recording != nil {
		if closed := recording.Close(); err == nil {
			err = closed
		}
	}
	if err != nil {
		return err
	}
	return tell(c, ledger.Judge())
}

// tell prints what a collector found; an error if a rule was broken.
func tell(c *cobra.Command, f *collector.Findings) error {
	w := c.OutOrStdout()
	fmt.Fprintf(w, "%d samples, %d came twice, %d stamps not whole\n", f.Samples, f.Doubled, f.Incomplete)
	for _, r := range f.Runs {
		fmt.Fprintf(w, "broker %q started %s: %d intervals stand for %d of %d, %d series of counters\n", r.Broker,
			time.Unix(r.Started, 0).UTC().Format(time.RFC3339), len(r.Intervals), r.Of, r.Last, r.Series)
	}
	if f.OK() {
		return nil
	}
	text, err := json.MarshalIndent(map[string]any{"faults": f.Faults, "unknown": f.Unknown, "broken": f.Broken}, "", "  ")
	if err != nil {
		return err
	}
	return fmt.Errorf("what came breaks rules: %s", text)
}

// recording opens the file to record to, if one is named.
func (s *standin) recording() (*collector.Recording, func(collector.Sample), error) {
	if s.record == "" {
		return nil, nil, nil
	}
	f, err := os.Create(s.record)
	if err != nil {
		return nil, nil, fmt.Errorf("recording: %w", err)
	}
	r, err := collector.NewRecording(f)
	if err != nil {
		return nil, nil, err
	}
	return r, r.Add, nil
}

func standinGraphite() *cobra.Command {
	var s standin
	var form graphite.Form
	var pickled bool
	c := &cobra.Command{Use: "graphite", Short: "A carbon server that checks what it gets", Args: takes(cobra.NoArgs)}
	s.flags(c, "127.0.0.1:2003")
	c.Flags().BoolVar(&pickled, "pickle", false, "take the pickle protocol instead of lines")
	c.Flags().BoolVar(&form.Tags, "tags", false, "expect tags in paths")
	c.Flags().StringVar(&form.Prefix, "prefix", "wheatlane", "expect this ahead of paths")
	c.RunE = func(c *cobra.Command, _ []string) error {
		recording, add, err := s.recording()
		if err != nil {
			return err
		}
		ledger := collector.NewLedger(add)
		carbon, err := collector.NewCarbon(s.listen, form, pickled, ledger)
		if err != nil {
			return err
		}
		return s.run(c, ledger, recording, carbon.Addr(), carbon.Set, carbon.Run)
	}
	return c
}

func standinCollectd() *cobra.Command {
	var s standin
	var level, user, file string
	c := &cobra.Command{Use: "collectd", Short: "A collectd with the network plugin that checks what it gets", Args: takes(cobra.NoArgs)}
	s.flags(c, "127.0.0.1:25826")
	c.Flags().StringVar(&level, "security", "none", "level that is demanded: none, sign or encrypt")
	c.Flags().StringVar(&user, "user", "", "user known")
	c.Flags().StringVar(&file, "password-file", "", "file with the user's password")
	c.RunE = func(c *cobra.Command, _ []string) error {
		levels := map[string]collectd.Level{"none": collectd.Plain, "sign": collectd.Sign, "encrypt": collectd.Encrypt}
		demand, ok := levels[level]
		if !ok {
			return &usageError{c.CommandPath(), fmt.Errorf("security: %q is none of none, sign, encrypt", level)}
		}
		var password string
		if file != "" {
			text, err := os.ReadFile(file)
			if err != nil {
				return fmt.Errorf("password: %w", err)
			}
			password = strings.TrimRight(string(text), "\r\n")
		}
		recording, add, err := s.recording()
		if err != nil {
			return err
		}
		ledger := collector.NewLedger(add)
		reader := collectd.Reader{Demand: demand, Passwords: func(u string) (string, bool) { return password, u == user && user != "" }}
		cd, err := collector.NewCollectd(s.listen, reader, 1, ledger)
		if err != nil {
			return err
		}
		return s.run(c, ledger, recording, cd.Addr(), cd.Set, cd.Run)
	}
	return c
}

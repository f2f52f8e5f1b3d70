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
	"wheatlane/internal/emulator/changelogserver"
	"wheatlane/internal/emulator/cluster"
	"wheatlane/internal/emulator/collector"
	"wheatlane/internal/emulator/scenario"
	"wheatlane/internal/graphite"
)

func standinCommand() *cobra.Command {
	return group("standin", "Play a system that the broker talks to, on this machine, with faults",
		standinGraphite(), standinCollectd(), standinEngines(), standinChangelog())
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

// emptied has a collector forget what came, as one that starts again without its disk.
const emptied = "empty"

// collectorVerbs are what a collector can be told to do.
var collectorVerbs = map[string]bool{string(collector.Serve): false, string(collector.Unreachable): false, string(collector.Silent): false,
	string(collector.Slow): false, string(collector.Truncating): false, string(collector.Lossy): false, string(collector.Reordering): false,
	emptied: false}

// run plays a collector until a signal or its time, then says what came.
func (s *standin) run(c *cobra.Command, ledger *collector.Reconciler, recording *collector.Recording, addr string,
	set func(collector.Mode), serve func(context.Context) error) error {
	steps, err := scenario.Parse(s.faults, collectorVerbs, 0)
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
	if recording != nil {
		g.Go(func() error { return recording.Run(ctx) })
	}
	g.Go(func() error {
		return scenario.Play(ctx, steps, func(st scenario.Step) error {
			fmt.Fprintln(c.OutOrStdout(), st)
			if st.Do == emptied {
				ledger.Empty()
				return nil
			}
			set(collector.Mode(st.Do))
			return nil
		})
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
	return tell(c, ledger.Reconcile())
}

// tell prints what a collector found; an error if a rule was broken.
func tell(c *cobra.Command, f *collector.Findings) error {
	w := c.OutOrStdout()
	fmt.Fprintf(w, "%d samples, %d came twice, %d stamps not whole\n", f.Samples, f.Duplicated, f.Incomplete)
	for _, r := range f.Runs {
		fmt.Fprintf(w, "broker %q started %s: %d intervals stand for %d of %d, %d series of counters\n", r.Broker,
			time.UnixMilli(r.Started).UTC().Format(time.RFC3339), len(r.Intervals), r.Of, r.Last, r.Series)
	}
	if f.OK() {
		return nil
	}
	text, err := json.MarshalIndent(map[string]any{"faults": f.Faults, "unknown": f.Unknown, "broken": f.Malformed}, "", "  ")
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
		ledger := collector.NewReconciler(add)
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
		ledger := collector.NewReconciler(add)
		reader := collectd.Reader{Demand: demand, Passwords: func(u string) (string, bool) { return password, u == user && user != "" }}
		cd, err := collector.NewCollectd(s.listen, reader, 1, ledger)
		if err != nil {
			return err
		}
		return s.run(c, ledger, recording, cd.Addr(), cd.Set, cd.Run)
	}
	return c
}

func standinEngines() *cobra.Command {
	var n int
	var list, faults string
	var most time.Duration
	c := &cobra.Command{Use: "engines", Short: "Query engines, and the list of them for 'wheatlane standin changelog'", Args: takes(cobra.NoArgs)}
	c.Flags().IntVar(&n, "n", 4, "how many")
	c.Flags().StringVar(&list, "list", "engines.json", "file to write the list to")
	c.Flags().StringVar(&faults, "faults", "", "what to do when to which, as in 30s:slow:2,60s:quick:2; slow, quick, silent, speak, drain, crash, back, moved")
	c.Flags().DurationVar(&most, "for", time.Hour, "end after this time at the latest")
	c.RunE = func(c *cobra.Command, _ []string) error {
		steps, err := scenario.Parse(faults, cluster.Verbs, n)
		if err != nil {
			return &usageError{c.CommandPath(), err}
		}
		ctx, cancel := signal.NotifyContext(c.Context(), syscall.SIGTERM, syscall.SIGINT)
		defer cancel()
		ctx, stop := context.WithTimeout(ctx, most)
		defer stop()
		var all *cluster.Cluster
		if all, err = cluster.New(n, nil, func(changelogserver.Host) error { return changelogserver.WriteFile(list, all.Hosts()) }); err != nil {
			return err
		}
		if err := changelogserver.WriteFile(list, all.Hosts()); err != nil {
			return err
		}
		fmt.Fprintf(c.OutOrStdout(), "%d engines, listed in %s\n", n, list)
		g, ctx := errgroup.WithContext(ctx)
		g.Go(func() error { return all.Run(ctx) })
		g.Go(func() error {
			return scenario.Play(ctx, steps, func(st scenario.Step) error {
				fmt.Fprintln(c.OutOrStdout(), st)
				return all.Do(ctx, st)
			})
		})
		return g.Wait()
	}
	return c
}

func standinChangelog() *cobra.Command {
	var list, listen, faults string
	var late, most time.Duration
	verbs := map[string]bool{string(changelogserver.Serve): false, string(changelogserver.Break): false, string(changelogserver.Stall): false, string(changelogserver.Refuse): false}
	c := &cobra.Command{Use: "changelog", Short: "A change log that tells what becomes of a list of engines", Args: takes(cobra.NoArgs)}
	c.Flags().StringVar(&list, "list", "engines.json", "the list, as 'wheatlane standin engines' keeps it")
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:4222", "address and port")
	c.Flags().StringVar(&faults, "faults", "", "how to behave when, as in 30s:stall,60s:serve; serve, break, stall, refuse")
	c.Flags().DurationVar(&late, "late", 0, "tell each change so long after it happened")
	c.Flags().DurationVar(&most, "for", time.Hour, "end after this time at the latest")
	c.RunE = func(c *cobra.Command, _ []string) error {
		steps, err := scenario.Parse(faults, verbs, 0)
		if err != nil {
			return &usageError{c.CommandPath(), err}
		}
		hosts, err := changelogserver.ReadFile(list)
		if err != nil {
			return err
		}
		changes, err := changelogserver.New(listen, hosts, nil)
		if err != nil {
			return err
		}
		changes.Late(late)
		ctx, cancel := signal.NotifyContext(c.Context(), syscall.SIGTERM, syscall.SIGINT)
		defer cancel()
		ctx, stop := context.WithTimeout(ctx, most)
		defer stop()
		fmt.Fprintf(c.OutOrStdout(), "listening on %s, %d engines\n", changes.Addr(), len(hosts))
		g, ctx := errgroup.WithContext(ctx)
		g.Go(func() error { return changes.Run(ctx) })
		g.Go(func() error { return changes.Follow(ctx, list, hosts) })
		g.Go(func() error {
			return scenario.Play(ctx, steps, func(st scenario.Step) error {
				fmt.Fprintln(c.OutOrStdout(), st)
				changes.Set(changelogserver.Mode(st.Do))
				return nil
			})
		})
		return g.Wait()
	}
	return c
}

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log"
	"net"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"
	"sync"
	"time"

	"golang.org/x/net/netutil"

	"rampspread/internal/clients"
	"rampspread/internal/core"
	"rampspread/internal/discovery"
	"rampspread/internal/servers"
	"rampspread/internal/wire"
)

const (
	headWait    = 5 * time.Second  // for a client to send a request's head
	clientIdle  = 60 * time.Second // between requests on a connection
	lameDuck    = 500 * time.Millisecond
	lastCall    = 400 * time.Millisecond
	shutdownFor = 20 * time.Second
)

// load reads the configuration; the environment's words stand above the file's.
func load(path string) (*wire.Config, error) {
	if path == "" {
		return nil, errors.New("no configuration: set LB_CONFIG or -config")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	cfg, err := wire.ParseConfig(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	for name, to := range map[string]*string{"LB_NAME": &cfg.Name, "LB_LISTEN": &cfg.Listen, "LB_DISCOVERY": &cfg.Discovery} {
		if v := os.Getenv(name); v != "" {
			*to = v
		}
	}
	if err := cfg.Validate(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return cfg, nil
}

// serve is one dispatcher, from its start to its orderly end.
func serve(ctx context.Context, cfg *wire.Config) error {
	runtime.GOMAXPROCS(max(1, int(cfg.Limits.Cores)))
	if mb := cfg.Limits.MemoryMB; mb > 0 {
		debug.SetMemoryLimit(int64(mb) << 20 * 6 / 10)
	}
	sockets := cfg.Limits.Sockets
	if sockets <= 0 {
		sockets = 1024
	}
	seed, err := cfg.SeedNumber()
	if err != nil {
		return err
	}
	router, err := cfg.Settings.Router()
	if err != nil {
		return err
	}
	pool := servers.New(&cfg.Settings, max(sockets/32, 4))
	c, err := core.New(router, seed, pool)
	if err != nil {
		return err
	}
	running, stop := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer stop()
	tasks.Go(func() { c.Run(running) })
	watch := discovery.New(cfg.Discovery, &cfg.Settings, c.Roster)
	if len(cfg.Known) > 0 {
		var known discovery.List
		if err := json.Unmarshal(cfg.Known, &known); err != nil {
			return fmt.Errorf("config: known: %w", err)
		}
		watch.Apply(known, true)
	}
	tasks.Go(func() { watch.Run(running) })

	front := clients.New(c, &cfg.Settings)
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: front, ReadHeaderTimeout: headWait, IdleTimeout: clientIdle, MaxHeaderBytes: 16 << 10}
	failed := make(chan error, 1)
	tasks.Go(func() { failed <- server.Serve(netutil.LimitListener(listener, sockets/2)) })
	log.Printf("event=serving name=%s listen=%s", cfg.Name, cfg.Listen)
	select {
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	// New connections still come for a while: they are taken, and each answer is the last on its
	// connection. Idle connections close next, and the listener last.
	log.Printf("event=draining")
	front.Drain()
	time.Sleep(lameDuck)
	server.SetKeepAlivesEnabled(false)
	time.Sleep(lastCall)
	end, cancel := context.WithTimeout(context.Background(), shutdownFor)
	defer cancel()
	if err := server.Shutdown(end); err != nil {
		return fmt.Errorf("shutdown: %w", err)
	}
	log.Printf("event=stopped")
	return nil
}

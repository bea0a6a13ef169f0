package testutil

import (
	"context"
	"testing"

	"rampspread/internal/config"
	"rampspread/internal/dispatch"
	"rampspread/internal/hostos"
	"rampspread/internal/upstream"
	"rampspread/routing"
)

const (
	maxConnsPerReplica = 8
	maxIdleConns       = 8
	routerSeed         = 1
)

// Deployment is a dispatcher in front of one prefill and one decode replica, under the settings of SettingsJSON. The
// endpoints are called "r" and "w".
type Deployment struct {
	Settings        *config.Settings
	Dispatcher      *dispatch.Dispatcher
	Upstream        *upstream.Client
	Prefill, Decode *Replica
}

// NewDeployment starts a deployment whose replicas follow the scripts. It is stopped when the test ends.
func NewDeployment(t testing.TB, prefill, decode Script) *Deployment {
	t.Helper()
	d := &Deployment{Settings: Settings(t), Prefill: NewReplica(t, prefill), Decode: NewReplica(t, decode)}
	d.Upstream = upstream.New(d.Settings, upstream.Limits{ConnsPerReplica: maxConnsPerReplica, IdleConns: maxIdleConns}, hostos.Real())
	cfg, err := d.Settings.Router()
	if err != nil {
		t.Fatal(err)
	}
	if d.Dispatcher, err = dispatch.New(cfg, routerSeed, d.Upstream, hostos.Real(), nil); err != nil {
		t.Fatal(err)
	}
	// Not t.Context, which ends before the cleanups: the servers that tests put in front are closed while it still runs.
	ctx, stop := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() { defer close(stopped); d.Dispatcher.Run(ctx) }()
	t.Cleanup(func() { stop(); <-stopped; d.Upstream.Close() })
	d.Dispatcher.UpdateEndpoints(true, []dispatch.Endpoint{
		{Name: "r", Addr: d.Prefill.Addr, Kind: prefillKind, State: routing.Ready, Weight: 1},
		{Name: "w", Addr: d.Decode.Addr, Kind: decodeKind, State: routing.Ready, Weight: 1},
	})
	return d
}

package xds_test

import (
	"net"
	"testing"

	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discoverysvc "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"github.com/envoyproxy/go-control-plane/pkg/resource/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"rampspread/internal/dispatch"
	"rampspread/internal/testkit"
	"rampspread/internal/xds"
	"rampspread/routing"
)

// A proxy's stream gets the clusters and their endpoints, and each change of the list after that.
func TestProxySeesTheList(t *testing.T) {
	s := xds.New(testkit.Settings(t))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error)
	go func() { done <- s.Serve(l) }()
	defer func() {
		s.Stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}()
	entry := func(name string, kind int, state routing.EndpointState) dispatch.Endpoint {
		return dispatch.Endpoint{Name: name, Addr: "127.0.0.1:9000", Kind: kind, State: state, Weight: 1.5}
	}
	s.Publish(true, []dispatch.Endpoint{entry("r", 0, routing.Ready), entry("w1", 1, routing.Ready), entry("w2", 1, routing.Ready)})

	conn, err := grpc.NewClient(l.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	stream, err := discoverysvc.NewAggregatedDiscoveryServiceClient(conn).StreamAggregatedResources(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	ask := func(r *discoverysvc.DiscoveryRequest) *discoverysvc.DiscoveryResponse {
		t.Helper()
		if r != nil {
			if err := stream.Send(r); err != nil {
				t.Fatal(err)
			}
		}
		got, err := stream.Recv()
		if err != nil {
			t.Fatal(err)
		}
		return got
	}
	if got := ask(&discoverysvc.DiscoveryRequest{TypeUrl: resource.ClusterType}); len(got.Resources) != 2 {
		t.Errorf("%d clusters", len(got.Resources))
	}
	// health maps the writers' names to their health.
	health := func(got *discoverysvc.DiscoveryResponse) map[string]string {
		t.Helper()
		out := map[string]string{}
		for _, raw := range got.Resources {
			var load endpointv3.ClusterLoadAssignment
			if err := raw.UnmarshalTo(&load); err != nil {
				t.Fatal(err)
			}
			for _, zone := range load.Endpoints {
				for _, e := range zone.LbEndpoints {
					out[e.GetEndpoint().Hostname] = e.HealthStatus.String()
					if zone.Locality.Zone != "wien" || e.LoadBalancingWeight.Value != 150 ||
						e.GetEndpoint().Address.GetSocketAddress().GetPortValue() != 9000 {
						t.Errorf("endpoint %v in %v", e, zone.Locality)
					}
				}
			}
		}
		return out
	}
	names := []string{"decode-a", "prefill"}
	got := ask(&discoverysvc.DiscoveryRequest{TypeUrl: resource.EndpointType, ResourceNames: names})
	if h := health(got); len(h) != 3 || h["w1"] != "HEALTHY" {
		t.Errorf("endpoints %v", h)
	}
	if err := stream.Send(&discoverysvc.DiscoveryRequest{TypeUrl: resource.EndpointType, ResourceNames: names,
		VersionInfo: got.VersionInfo, ResponseNonce: got.Nonce}); err != nil {
		t.Fatal(err)
	}
	s.Publish(false, []dispatch.Endpoint{entry("w1", 1, routing.Draining), entry("w2", 1, routing.Gone)})
	for got = ask(nil); got.TypeUrl != resource.EndpointType; got = ask(nil) {
	}
	if h := health(got); len(h) != 2 || h["w1"] != "DRAINING" || h["r"] != "HEALTHY" {
		t.Errorf("endpoints after the change %v", h)
	}
}

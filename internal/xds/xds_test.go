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
	"rampspread/internal/testutil"
	"rampspread/internal/xds"
	"rampspread/routing"
)

// proxy is an xDS client with one aggregated discovery stream.
type proxy struct {
	stream discoverysvc.AggregatedDiscoveryService_StreamAggregatedResourcesClient
}

// connectProxy opens a stream to a server that runs until the test ends.
func connectProxy(t *testing.T, server *xds.Server) proxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error)
	go func() { done <- server.Serve(listener) }()
	t.Cleanup(func() {
		server.Stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	conn, err := grpc.NewClient(listener.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	stream, err := discoverysvc.NewAggregatedDiscoveryServiceClient(conn).StreamAggregatedResources(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return proxy{stream}
}

func (p proxy) send(t *testing.T, request *discoverysvc.DiscoveryRequest) {
	t.Helper()
	if err := p.stream.Send(request); err != nil {
		t.Fatal(err)
	}
}

func (p proxy) receive(t *testing.T) *discoverysvc.DiscoveryResponse {
	t.Helper()
	response, err := p.stream.Recv()
	if err != nil {
		t.Fatal(err)
	}
	return response
}

// healthByName checks zone, weight and port of the endpoints in a response and returns their health status by name.
func healthByName(t *testing.T, response *discoverysvc.DiscoveryResponse) map[string]string {
	t.Helper()
	health := map[string]string{}
	for _, raw := range response.Resources {
		var assignment endpointv3.ClusterLoadAssignment
		if err := raw.UnmarshalTo(&assignment); err != nil {
			t.Fatal(err)
		}
		for _, zone := range assignment.Endpoints {
			for _, endpoint := range zone.LbEndpoints {
				health[endpoint.GetEndpoint().Hostname] = endpoint.HealthStatus.String()
				if zone.Locality.Zone != "wien" || endpoint.LoadBalancingWeight.Value != 150 ||
					endpoint.GetEndpoint().Address.GetSocketAddress().GetPortValue() != 9000 {
					t.Errorf("endpoint %v in %v", endpoint, zone.Locality)
				}
			}
		}
	}
	return health
}

// A proxy must receive the clusters and their endpoints on its stream, and after that each change of the endpoint list.
func TestProxyReceivesEndpointsAndTheirChanges(t *testing.T) {
	server := xds.NewServer(testutil.Settings(t))
	endpoint := func(name string, kind int, state routing.EndpointState) dispatch.Endpoint {
		return dispatch.Endpoint{Name: name, Addr: "127.0.0.1:9000", Kind: kind, State: state, Weight: 1.5}
	}
	server.Publish(true, []dispatch.Endpoint{
		endpoint("prefill-1", 0, routing.Ready), endpoint("decode-1", 1, routing.Ready), endpoint("decode-2", 1, routing.Ready)})
	proxy := connectProxy(t, server)

	proxy.send(t, &discoverysvc.DiscoveryRequest{TypeUrl: resource.ClusterType})
	if response := proxy.receive(t); len(response.Resources) != 2 {
		t.Errorf("%d clusters, want 2", len(response.Resources))
	}
	clusters := []string{"decode-a", "prefill"}
	proxy.send(t, &discoverysvc.DiscoveryRequest{TypeUrl: resource.EndpointType, ResourceNames: clusters})
	response := proxy.receive(t)
	if health := healthByName(t, response); len(health) != 3 || health["decode-1"] != "HEALTHY" {
		t.Errorf("endpoints %v", health)
	}
	proxy.send(t, &discoverysvc.DiscoveryRequest{TypeUrl: resource.EndpointType, ResourceNames: clusters,
		VersionInfo: response.VersionInfo, ResponseNonce: response.Nonce})

	server.Publish(false, []dispatch.Endpoint{
		endpoint("decode-1", 1, routing.Draining), endpoint("decode-2", 1, routing.Gone)})
	for response = proxy.receive(t); response.TypeUrl != resource.EndpointType; response = proxy.receive(t) {
	}
	if health := healthByName(t, response); len(health) != 2 || health["decode-1"] != "DRAINING" ||
		health["prefill-1"] != "HEALTHY" {
		t.Errorf("endpoints after the change %v", health)
	}
}

// Package xds serves this dispatcher's endpoint list to other proxies over Envoy's xDS protocol
// (https://www.envoyproxy.io/docs/envoy/latest/api-docs/xds_protocol). It serves one cluster for each kind of endpoint,
// with the state-of-the-world variant of the protocol, on the aggregated stream or on one stream for each resource
// type. go-control-plane implements the streams and their versions.
//
// A Server owns a copy of the endpoint list, the version of its last snapshot, and a gRPC server. Its methods are safe
// for concurrent use.
package xds

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	clustersvc "github.com/envoyproxy/go-control-plane/envoy/service/cluster/v3"
	discoverysvc "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	endpointsvc "github.com/envoyproxy/go-control-plane/envoy/service/endpoint/v3"
	"github.com/envoyproxy/go-control-plane/pkg/cache/types"
	"github.com/envoyproxy/go-control-plane/pkg/cache/v3"
	"github.com/envoyproxy/go-control-plane/pkg/resource/v3"
	"github.com/envoyproxy/go-control-plane/pkg/server/v3"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"rampspread/internal/config"
	"rampspread/internal/dispatch"
	"rampspread/routing"
)

const (
	sharedSnapshotKey = "all"                  // key of the only snapshot, which all proxies receive
	connectTimeout    = 250 * time.Millisecond // limit for a proxy's connection to an endpoint
	maxStreams        = 1024                   // concurrent streams on one connection
	// weightScale converts the relative weights of an endpoint list into the integers that xDS requires. It keeps two
	// decimal places. The converted weights are limited to the range from minWeight to maxWeight.
	weightScale = 100
	minWeight   = 1
	maxWeight   = 1e6
)

// sharedNodeHash is a cache.NodeHash that selects the same snapshot for all proxies.
type sharedNodeHash struct{}

// ID implements cache.NodeHash.
func (sharedNodeHash) ID(*corev3.Node) string { return sharedSnapshotKey }

// Server is an xDS server for clusters and endpoints.
type Server struct {
	settings *config.Settings
	cache    cache.SnapshotCache
	grpc     *grpc.Server

	mu        sync.Mutex
	version   uint64
	endpoints map[string]dispatch.Endpoint
}

// NewServer returns a Server without endpoints; proxies receive nothing before the first Publish.
func NewServer(settings *config.Settings) *Server {
	s := &Server{settings: settings, cache: cache.NewSnapshotCache(true, sharedNodeHash{}, nil),
		grpc: grpc.NewServer(grpc.MaxConcurrentStreams(maxStreams)), endpoints: map[string]dispatch.Endpoint{}}
	discovery := server.NewServer(context.Background(), s.cache, nil)
	discoverysvc.RegisterAggregatedDiscoveryServiceServer(s.grpc, discovery)
	clustersvc.RegisterClusterDiscoveryServiceServer(s.grpc, discovery)
	endpointsvc.RegisterEndpointDiscoveryServiceServer(s.grpc, discovery)
	return s
}

// Serve accepts proxies until Stop is called, and then returns nil.
func (s *Server) Serve(listener net.Listener) error {
	if err := s.grpc.Serve(listener); err != nil {
		return fmt.Errorf("xds: %w", err)
	}
	return nil
}

// Stop closes the listener and ends all streams.
func (s *Server) Stop() { s.grpc.Stop() }

// Publish applies a full endpoint list, or changes to it, and sends the result to all proxies. If an endpoint cannot be
// converted, it logs the error, and the proxies keep the last snapshot.
func (s *Server) Publish(full bool, endpoints []dispatch.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	dispatch.ApplyUpdate(s.endpoints, full, endpoints)
	s.version++
	snapshot, err := s.snapshot()
	if err == nil {
		err = s.cache.SetSnapshot(context.Background(), sharedSnapshotKey, snapshot)
	}
	if err != nil {
		slog.Warn("xds_failed", "err", err)
	}
}

// snapshot returns a snapshot with a cluster and its endpoints for each kind. The caller must hold s.mu.
func (s *Server) snapshot() (*cache.Snapshot, error) {
	byKind := map[int][]dispatch.Endpoint{}
	for _, endpoint := range s.endpoints {
		byKind[endpoint.Kind] = append(byKind[endpoint.Kind], endpoint)
	}
	var clusters, assignments []types.Resource
	for kind, name := range s.settings.Kinds {
		assignment, err := s.loadAssignment(name, byKind[kind])
		if err != nil {
			return nil, err
		}
		clusters = append(clusters, edsCluster(name))
		assignments = append(assignments, assignment)
	}
	snapshot, err := cache.NewSnapshot(strconv.FormatUint(s.version, 10), map[resource.Type][]types.Resource{
		resource.ClusterType: clusters, resource.EndpointType: assignments})
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	return snapshot, nil
}

// edsCluster returns a cluster whose endpoints the proxy receives on the aggregated stream.
func edsCluster(name string) *clusterv3.Cluster {
	return &clusterv3.Cluster{Name: name, ConnectTimeout: durationpb.New(connectTimeout),
		ClusterDiscoveryType: &clusterv3.Cluster_Type{Type: clusterv3.Cluster_EDS},
		EdsClusterConfig: &clusterv3.Cluster_EdsClusterConfig{EdsConfig: &corev3.ConfigSource{
			ResourceApiVersion:    corev3.ApiVersion_V3,
			ConfigSourceSpecifier: &corev3.ConfigSource_Ads{Ads: &corev3.AggregatedConfigSource{}}}}}
}

// loadAssignment returns the endpoints of a cluster, sorted by name within one locality for each zone. It sorts its
// argument in place.
func (s *Server) loadAssignment(cluster string, endpoints []dispatch.Endpoint) (*endpointv3.ClusterLoadAssignment, error) {
	slices.SortFunc(endpoints, func(a, b dispatch.Endpoint) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Name, b.Name))
	})
	assignment := &endpointv3.ClusterLoadAssignment{ClusterName: cluster}
	for i, endpoint := range endpoints {
		if i == 0 || endpoints[i-1].Zone != endpoint.Zone {
			assignment.Endpoints = append(assignment.Endpoints, &endpointv3.LocalityLbEndpoints{
				Locality:            &corev3.Locality{Zone: s.settings.ZoneName(endpoint.Zone)},
				LoadBalancingWeight: wrapperspb.UInt32(1)})
		}
		converted, err := lbEndpoint(endpoint)
		if err != nil {
			return nil, err
		}
		locality := assignment.Endpoints[len(assignment.Endpoints)-1]
		locality.LbEndpoints = append(locality.LbEndpoints, converted)
	}
	return assignment, nil
}

// lbEndpoint converts an endpoint. It fails if the address is not a host and a numeric port.
func lbEndpoint(endpoint dispatch.Endpoint) (*endpointv3.LbEndpoint, error) {
	host, port, err := net.SplitHostPort(endpoint.Addr)
	if err != nil {
		return nil, fmt.Errorf("endpoint %s: %w", endpoint.Name, err)
	}
	portNumber, err := strconv.ParseUint(port, 10, 16)
	if err != nil {
		return nil, fmt.Errorf("endpoint %s: %w", endpoint.Name, err)
	}
	health := corev3.HealthStatus_HEALTHY
	if endpoint.State == routing.Draining {
		health = corev3.HealthStatus_DRAINING
	}
	return &endpointv3.LbEndpoint{
		HealthStatus: health,
		LoadBalancingWeight: wrapperspb.UInt32(
			uint32(min(max(endpoint.Weight*weightScale, minWeight), maxWeight))),
		HostIdentifier: &endpointv3.LbEndpoint_Endpoint{Endpoint: &endpointv3.Endpoint{Hostname: endpoint.Name,
			Address: &corev3.Address{Address: &corev3.Address_SocketAddress{SocketAddress: &corev3.SocketAddress{
				Address:       host,
				PortSpecifier: &corev3.SocketAddress_PortValue{PortValue: uint32(portNumber)}}}}}},
	}, nil
}

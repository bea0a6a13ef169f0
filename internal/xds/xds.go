// Package xds hands the list of servers that this dispatcher goes by to other
// proxies: a cluster for each kind of server, with its endpoints, over xDS.
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
	everyone       = "all" // all proxies see one list
	connectTimeout = 250 * time.Millisecond
	mostStreams    = 1024 // on one connection
)

type oneNode struct{}

// ID implements cache.NodeHash.
func (oneNode) ID(*corev3.Node) string { return everyone }

// Server is an xDS server for clusters and endpoints.
type Server struct {
	settings *config.Settings
	cache    cache.SnapshotCache
	grpc     *grpc.Server

	mu      sync.Mutex
	version uint64
	list    map[string]dispatch.Endpoint
}

// New returns a Server that knows no list yet.
func New(settings *config.Settings) *Server {
	s := &Server{settings: settings, cache: cache.NewSnapshotCache(true, oneNode{}, nil),
		grpc: grpc.NewServer(grpc.MaxConcurrentStreams(mostStreams)), list: map[string]dispatch.Endpoint{}}
	x := server.NewServer(context.Background(), s.cache, nil)
	discoverysvc.RegisterAggregatedDiscoveryServiceServer(s.grpc, x)
	clustersvc.RegisterClusterDiscoveryServiceServer(s.grpc, x)
	endpointsvc.RegisterEndpointDiscoveryServiceServer(s.grpc, x)
	return s
}

// Serve answers proxies until Stop.
func (s *Server) Serve(l net.Listener) error {
	if err := s.grpc.Serve(l); err != nil {
		return fmt.Errorf("xds: %w", err)
	}
	return nil
}

// Stop ends all streams.
func (s *Server) Stop() { s.grpc.Stop() }

// Publish applies a list, or changes to it, and hands it to all proxies.
func (s *Server) Publish(full bool, entries []dispatch.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	dispatch.ApplyUpdate(s.list, full, entries)
	s.version++
	snapshot, err := s.snapshot()
	if err == nil {
		err = s.cache.SetSnapshot(context.Background(), everyone, snapshot)
	}
	if err != nil {
		slog.Warn("xds_failed", "err", err)
	}
}

// snapshot makes a cluster for each kind, with one group of endpoints for each zone.
func (s *Server) snapshot() (*cache.Snapshot, error) {
	byKind := map[int][]dispatch.Endpoint{}
	for _, e := range s.list {
		byKind[e.Kind] = append(byKind[e.Kind], e)
	}
	var clusters, endpoints []types.Resource
	for kind, name := range s.settings.Kinds {
		clusters = append(clusters, &clusterv3.Cluster{Name: name, ConnectTimeout: durationpb.New(connectTimeout),
			ClusterDiscoveryType: &clusterv3.Cluster_Type{Type: clusterv3.Cluster_EDS},
			EdsClusterConfig: &clusterv3.Cluster_EdsClusterConfig{EdsConfig: &corev3.ConfigSource{
				ResourceApiVersion:    corev3.ApiVersion_V3,
				ConfigSourceSpecifier: &corev3.ConfigSource_Ads{Ads: &corev3.AggregatedConfigSource{}}}}})
		list := byKind[kind]
		slices.SortFunc(list, func(a, b dispatch.Endpoint) int {
			return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Name, b.Name))
		})
		load := &endpointv3.ClusterLoadAssignment{ClusterName: name}
		for i, e := range list {
			if i == 0 || list[i-1].Zone != e.Zone {
				load.Endpoints = append(load.Endpoints, &endpointv3.LocalityLbEndpoints{
					Locality:            &corev3.Locality{Zone: s.settings.ZoneName(e.Zone)},
					LoadBalancingWeight: wrapperspb.UInt32(1)})
			}
			endpoint, err := lbEndpoint(e)
			if err != nil {
				return nil, err
			}
			zone := load.Endpoints[len(load.Endpoints)-1]
			zone.LbEndpoints = append(zone.LbEndpoints, endpoint)
		}
		endpoints = append(endpoints, load)
	}
	snapshot, err := cache.NewSnapshot(strconv.FormatUint(s.version, 10), map[resource.Type][]types.Resource{
		resource.ClusterType: clusters, resource.EndpointType: endpoints})
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	return snapshot, nil
}

func lbEndpoint(e dispatch.Endpoint) (*endpointv3.LbEndpoint, error) {
	host, port, err := net.SplitHostPort(e.Addr)
	if err != nil {
		return nil, fmt.Errorf("endpoint %s: %w", e.Name, err)
	}
	n, err := strconv.ParseUint(port, 10, 16)
	if err != nil {
		return nil, fmt.Errorf("endpoint %s: %w", e.Name, err)
	}
	health := corev3.HealthStatus_HEALTHY
	if e.State == routing.Draining {
		health = corev3.HealthStatus_DRAINING
	}
	return &endpointv3.LbEndpoint{
		HealthStatus: health,
		// The list's weights are shares; whole numbers carry them to two places.
		LoadBalancingWeight: wrapperspb.UInt32(uint32(min(max(e.Weight*100, 1), 1e6))),
		HostIdentifier: &endpointv3.LbEndpoint_Endpoint{Endpoint: &endpointv3.Endpoint{Hostname: e.Name,
			Address: &corev3.Address{Address: &corev3.Address_SocketAddress{SocketAddress: &corev3.SocketAddress{
				Address: host, PortSpecifier: &corev3.SocketAddress_PortValue{PortValue: uint32(n)}}}}}},
	}, nil
}

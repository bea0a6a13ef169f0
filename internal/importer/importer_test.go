package importer_test

import (
	"net"
	"reflect"
	"strings"
	"testing"

	"rampspread/internal/importer"
	"rampspread/internal/testkit"
)

const apacheText = `# two pools
<Proxy "balancer://prefill">
    BalancerMember "http://10.1.0.1:9000" route=r1 loadfactor=2.5
    BalancerMember http://10.1.0.2:9000 status=+D
    BalancerMember http://10.1.0.3:9000 status=+S
</Proxy>
BalancerMember balancer://decode-a http://[::1] \
    status=-D-S
ProxyPass / balancer://prefill/
`

const jkText = `ports=9100
worker.list=prefill, jkstatus
worker.list=alone
worker.prefill.type=lb
worker.prefill.balance_workers=a,b
worker.prefill.balance_workers=c
worker.base.port=$(ports)
worker.a.reference=worker.base
worker.a.host=10.1.0.1
worker.a.lbfactor=3
worker.b.reference=worker.base
worker.b.host=10.1.0.2
worker.b.activation=Disabled
worker.c.activation=S
worker.jkstatus.type=status
worker.alone.host=10.1.0.9
`

func TestParse(t *testing.T) {
	for text, want := range map[string][]importer.Member{
		apacheText: {
			{Name: "prefill/r1", Balancer: "prefill", Addr: "10.1.0.1:9000", Weight: 2.5},
			{Name: "prefill/10.1.0.2:9000", Balancer: "prefill", Addr: "10.1.0.2:9000", Weight: 1, Draining: true},
			{Name: "decode-a/[::1]:80", Balancer: "decode-a", Addr: "[::1]:80", Weight: 1},
		},
		jkText: {
			{Name: "alone", Balancer: "alone", Addr: "10.1.0.9:8009", Weight: 1},
			{Name: "a", Balancer: "prefill", Addr: "10.1.0.1:9100", Weight: 3},
			{Name: "b", Balancer: "prefill", Addr: "10.1.0.2:9100", Weight: 1, Draining: true},
		},
	} {
		if got, err := importer.Parse(strings.NewReader(text)); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("got %+v, %v", got, err)
		}
	}
}

func TestBadFiles(t *testing.T) {
	for text, want := range map[string]string{
		"": "no member", "BalancerMember http://a:1": "without a balancer", "BalancerMember balancer://b": "an address",
		"BalancerMember balancer://b ftp://a":                                            "no host or port",
		"BalancerMember balancer://b http://a:1 loadfactor=0":                            "line 1",
		"BalancerMember balancer://b http://a:1 \\":                                      "nothing follows",
		"BalancerMember balancer://b http://a:1\nBalancerMember balancer://b http://a:1": "twice",
		"worker.list":                                                  "no property",
		"worker.list=a\nworker.a.port=http":                            "port",
		"worker.list=a\nworker.a.lbfactor=-1":                          "lbfactor",
		"worker.list=a\nworker.a.type=lb":                              "no member",
		"worker.list=a\nworker.a.reference=worker.a\n worker.a.port=0": "port",
	} {
		if got, err := importer.Parse(strings.NewReader(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got %+v, %v", text, got, err)
		}
	}
}

func FuzzParse(f *testing.F) {
	for _, text := range testkit.Broken(6, apacheText, jkText) {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		members, err := importer.Parse(strings.NewReader(text))
		if (err == nil) != (len(members) > 0) {
			t.Fatalf("%d members, %v", len(members), err)
		}
		for _, m := range members {
			if _, _, err := net.SplitHostPort(m.Addr); err != nil || !(m.Weight >= 1) || m.Name == "" {
				t.Errorf("%+v, %v", m, err)
			}
		}
	})
}

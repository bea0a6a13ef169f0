package importer_test

import (
	"net"
	"reflect"
	"strings"
	"testing"

	"rampspread/internal/importer"
	"rampspread/internal/testutil"
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

const modJKText = `ports=9100
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

func TestParseReadsMembersOfEachFormat(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		want []importer.Member
	}{
		"apache": {apacheText, []importer.Member{
			{Name: "prefill/r1", Balancer: "prefill", Addr: "10.1.0.1:9000", Weight: 2.5},
			{Name: "prefill/10.1.0.2:9000", Balancer: "prefill", Addr: "10.1.0.2:9000", Weight: 1, Draining: true},
			{Name: "decode-a/[::1]:80", Balancer: "decode-a", Addr: "[::1]:80", Weight: 1},
		}},
		"mod_jk": {modJKText, []importer.Member{
			{Name: "alone", Balancer: "alone", Addr: "10.1.0.9:8009", Weight: 1},
			{Name: "a", Balancer: "prefill", Addr: "10.1.0.1:9100", Weight: 3},
			{Name: "b", Balancer: "prefill", Addr: "10.1.0.2:9100", Weight: 1, Draining: true},
		}},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := importer.Parse(strings.NewReader(c.text))
			if err != nil || !reflect.DeepEqual(got, c.want) {
				t.Errorf("got %+v, error %v", got, err)
			}
		})
	}
}

func TestParseRejectsInvalidFiles(t *testing.T) {
	for _, c := range []struct{ name, text, wantError string }{
		{"empty", "", "no member"},
		{"apache member without a balancer", "BalancerMember http://a:1", "without a balancer"},
		{"apache member without an address", "BalancerMember balancer://b", "an address"},
		{"apache scheme without a port", "BalancerMember balancer://b ftp://a", "no host or port"},
		{"apache load factor out of range", "BalancerMember balancer://b http://a:1 loadfactor=0", "line 1"},
		{"last line continued", "BalancerMember balancer://b http://a:1 \\", "nothing follows"},
		{"member named twice", "BalancerMember balancer://b http://a:1\nBalancerMember balancer://b http://a:1", "twice"},
		{"mod_jk line without a property", "worker.list", "no property"},
		{"mod_jk port is no number", "worker.list=a\nworker.a.port=http", "port"},
		{"mod_jk factor is negative", "worker.list=a\nworker.a.lbfactor=-1", "lbfactor"},
		{"mod_jk balancer without members", "worker.list=a\nworker.a.type=lb", "no member"},
		{"mod_jk circular reference", "worker.list=a\nworker.a.reference=worker.a\n worker.a.port=0", "port"},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := importer.Parse(strings.NewReader(c.text))
			if err == nil || !strings.Contains(err.Error(), c.wantError) {
				t.Errorf("%q: got %+v, error %v", c.text, got, err)
			}
		})
	}
}

// FuzzParse checks that Parse either fails or returns members that each have an address, a weight of at least 1 and a
// name.
func FuzzParse(f *testing.F) {
	for _, text := range testutil.CorruptedSeeds(6, apacheText, modJKText) {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		members, err := importer.Parse(strings.NewReader(text))
		if (err == nil) != (len(members) > 0) {
			t.Fatalf("%d members, error %v", len(members), err)
		}
		for _, m := range members {
			if _, _, err := net.SplitHostPort(m.Addr); err != nil || !(m.Weight >= 1) || m.Name == "" {
				t.Errorf("invalid member %+v, address error %v", m, err)
			}
		}
	})
}

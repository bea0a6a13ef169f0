package app

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"

	"rampspread/internal/discovery"
	"rampspread/internal/importer"
)

// importOptions holds the path of an Apache or mod_jk file, and the values that the file does not contain.
type importOptions struct {
	from string
	zone string
	port int // replaces each member's port, since mod_jk files have the AJP port; 0 keeps the file's ports
}

// importList writes a file's members in the format of discovery's list. A balancer's name becomes the machine type.
func importList(o importOptions, out io.Writer) error {
	if o.port < 0 || o.port > 65535 {
		return fmt.Errorf("import: port %d is out of range", o.port)
	}
	f, err := os.Open(o.from)
	if err != nil {
		return fmt.Errorf("import: %w", err)
	}
	defer f.Close()
	members, err := importer.Parse(f)
	if err != nil {
		return fmt.Errorf("import: %s: %w", o.from, err)
	}
	list := discovery.List{Reset: true}
	for _, m := range members {
		if o.port > 0 {
			host, _, err := net.SplitHostPort(m.Addr)
			if err != nil {
				return fmt.Errorf("import: member %s: %w", m.Name, err)
			}
			m.Addr = net.JoinHostPort(host, strconv.Itoa(o.port))
		}
		instance := discovery.Instance{ID: m.Name, HostPort: m.Addr, Zone: o.zone, MachineType: m.Balancer,
			Lifecycle: "ready", Weight: m.Weight}
		if m.Draining {
			instance.Lifecycle = "draining"
		}
		raw, err := json.Marshal(instance)
		if err != nil {
			return fmt.Errorf("import: member %s: %w", m.Name, err)
		}
		list.Instances = append(list.Instances, raw)
	}
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	if err := e.Encode(list); err != nil {
		return fmt.Errorf("import: %w", err)
	}
	return nil
}

package main

import "fmt"

// fleet is a fleet of dispatchers as deploy/fleet.json describes it, on one machine.
type fleet struct {
	rig     *rig
	net     *network
	cluster *cluster
	members []*member
	file    map[string]any
}

// newFleet lays out n dispatchers n0, n1, ..., the first three of which are voters. change changes the fleet's file.
func (r *rig) newFleet(n int, c *cluster, change func(file map[string]any)) *fleet {
	f := &fleet{rig: r, net: newNetwork(r), cluster: c, file: r.readJSON("deploy/fleet.json")}
	var members []map[string]string
	var listen []string
	for i := range n {
		m := &member{ip: fmt.Sprintf("%s%d", r.prefix, firstMember+i)}
		m.name = fmt.Sprintf("n%d", i)
		m.listen, m.chat = r.freeAddr(clientSide), r.freeAddr(clientSide)
		m.discovery = c.listFor(m.name)
		m.config, m.temp = r.writeConfig(m.name, m.discovery, n), r.folder(m.name+"-tmp")
		public, own := r.freeAddr(firstRelay+i), r.freeAddr(firstMember+i)
		f.net.relay(public, m.ip, own)
		members = append(members, map[string]string{"name": m.name, "address": public})
		listen = append(listen, own)
		f.members = append(f.members, m)
	}
	f.file["members"], f.file["voters"] = members, []string{"n0", "n1", "n2"}
	change(f.file)
	for i, m := range f.members {
		f.file["listen"] = listen[i]
		m.flags = "-fleet " + r.writeJSON(m.name+"-fleet.json", f.file)
	}
	return f
}

// keepState gives a member a state folder, made by state init.
func (f *fleet) keepState(m *member) {
	state := f.rig.folder(m.name + "-state")
	f.rig.note("state init: %s", f.rig.command("state", "init", state, "-name", m.name, "-fleet-name", f.file["fleet"].(string)))
	m.flags += " -state " + state
}

// useChat opens a member's chat API.
func (f *fleet) useChat(m *member) { m.flags += " -chat " + f.rig.writeChat(m.name, m.chat) }

// startMember starts a process of a member with an ops address of its own, beside one that may still run.
func (f *fleet) startMember(m *member) *process {
	m.starts++
	m.ops = f.rig.freeAddr(clientSide)
	m.process = f.rig.start(m.dispatcher, fmt.Sprintf("%s.%d", m.name, m.starts))
	return m.process
}

package hosts_test

import (
	"fmt"
	"strconv"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/nutmegway/nutmegway/internal/external/hostlist"
	"github.com/nutmegway/nutmegway/internal/fleet/hosts"
)

// TestDeltasOfTwoReadersConverge lets a node read from two readers in random
// order, each of which sees only some of the revisions. The node must end with the
// platform's list.
func TestDeltasOfTwoReadersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		listed := make(map[string]hostlist.Host)
		var readers [2]hosts.VersionedList
		var follower hosts.VersionedList
		for revision := int64(1); revision <= 30; revision++ {
			id := fmt.Sprint("host-", rapid.IntRange(0, 5).Draw(t, "host"))
			if rapid.Bool().Draw(t, "remove") {
				delete(listed, id)
			} else {
				listed[id] = hostlist.Host{ID: id, Address: strconv.FormatInt(revision, 10)}
			}
			list := hostlist.List{Revision: revision}
			for _, host := range listed {
				list.Hosts = append(list.Hosts, host)
			}
			for i := range readers {
				if revision == 30 || rapid.Bool().Draw(t, "polls") {
					readers[i].Set(list)
				}
			}
			reader := &readers[rapid.IntRange(0, 1).Draw(t, "reader")]
			follower.Apply(reader.Since(follower.Revision()))
		}
		if follower.Revision() != 30 || len(follower.Hosts()) != len(listed) {
			t.Fatalf("%d hosts at revision %d, want %d at revision 30", len(follower.Hosts()), follower.Revision(), len(listed))
		}
		for _, host := range follower.Hosts() {
			if listed[host.ID] != host {
				t.Fatalf("got host %+v, want %+v", host, listed[host.ID])
			}
		}
	})
}

func TestOldDeltaChangesNothing(t *testing.T) {
	is := is.New(t)
	var list hosts.VersionedList
	list.Set(hostlist.List{Revision: 5, Hosts: []hostlist.Host{{ID: "a"}}})
	list.Set(hostlist.List{Revision: 4})
	is.Equal(list.Apply(hosts.Delta{Revision: 5, Removed: []string{"a"}}), false)
	is.Equal(len(list.Hosts()), 1)
	is.Equal(len(list.Since(5).Changed), 0)
	is.True(list.Since(3).Full) // The list has never held revision 3.
}

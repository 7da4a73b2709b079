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

// A node that follows two readers in turn, each of which sees only some of the
// revisions, ends with the platform's list.
func TestFollowerOfTwoReaders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		listed := make(map[string]hostlist.Host)
		var readers [2]hosts.Journal
		var follower hosts.Journal
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
			t.Fatalf("%d hosts at %d, want %d", len(follower.Hosts()), follower.Revision(), len(listed))
		}
		for _, host := range follower.Hosts() {
			if listed[host.ID] != host {
				t.Fatalf("%+v, want %+v", host, listed[host.ID])
			}
		}
	})
}

func TestOldDifferenceChangesNothing(t *testing.T) {
	is := is.New(t)
	var j hosts.Journal
	j.Set(hostlist.List{Revision: 5, Hosts: []hostlist.Host{{ID: "a"}}})
	j.Set(hostlist.List{Revision: 4})
	is.Equal(j.Apply(hosts.Difference{Revision: 5, Removed: []string{"a"}}), false)
	is.Equal(len(j.Hosts()), 1)
	is.Equal(len(j.Since(5).Changed), 0)
	is.True(j.Since(3).Full) // it never saw what changed between
}

/// An entry's list of the entries of the cluster, itself included.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"
#include "cassia/schema/messages.pb.h"

#include <map>
#include <vector>

namespace cassia::membership {

class entry_list {
public:
    explicit entry_list(milliseconds unresponsive_after)
        : unresponsive_after_(unresponsive_after) {}

    /// Records a heartbeat. \param age time since the entry itself sent it.
    void observe(const schema::entry_hello& heartbeat, milliseconds age, instant now);

    /// Latest heartbeats of the entries last seen within `unresponsive_after`, each of its latest
    /// incarnation.
    std::vector<const schema::entry_hello*> alive(instant now) const;
    /// Alive entries that accept new requests: neither draining nor stale.
    std::vector<const schema::entry_hello*> accepting(instant now) const;
    /// Version of the list of accepting entries; increases when that list has changed.
    std::uint64_t version(instant now);

    /// Removes entries last seen more than a minute ago.
    void forget_old(instant now);

private:
    struct known_entry {
        schema::entry_hello heartbeat;
        instant last_seen{};
    };

    milliseconds unresponsive_after_;
    std::map<entry_id, known_entry> entries_;
    std::vector<std::string> last_accepting_;
    std::uint64_t version_ = 0;
};

/// The owner of an endpoint: the only entry that sends batch items to it. Chosen by rendezvous
/// hashing over the alive entries, preferring those in the endpoint's zone, so that every entry
/// gets the same result without coordination and few endpoints move when an entry joins or leaves.
entry_id steward_of(const endpoint_id& endpoint, const std::string& zone,
                    const std::vector<const schema::entry_hello*>& entries);

} // namespace cassia::membership

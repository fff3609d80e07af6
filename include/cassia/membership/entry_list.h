/// The entries that callers may be told of.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"
#include "cassia/schema/messages.pb.h"

#include <map>
#include <vector>

namespace cassia::membership {

class entry_list {
public:
    explicit entry_list(milliseconds silent_after) : silent_after_(silent_after) {}

    /// \param age how long ago the entry itself said so.
    void observe(const schema::entry_hello& hello, milliseconds age, instant now);

    /// Entries that live: neither silent nor superseded by a later incarnation.
    std::vector<const schema::entry_hello*> alive(instant now) const;
    /// Those of them that take new requests.
    std::vector<const schema::entry_hello*> accepting(instant now) const;
    /// Counts up when the open ones change.
    std::uint64_t version(instant now);

    void forget_old(instant now);

private:
    struct known_entry {
        schema::entry_hello hello;
        instant seen{};
    };

    milliseconds silent_after_;
    std::map<entry_id, known_entry> entries_;
    std::vector<std::string> last_open_;
    std::uint64_t version_ = 0;
};

/// The one entry that sends batch items to an endpoint: rendezvous hashing over the live entries,
/// those of its own zone before others, so that each can work it out alone and few endpoints move
/// when an entry comes or goes.
entry_id steward_of(const endpoint_id& endpoint, const std::string& zone,
                    const std::vector<const schema::entry_hello*>& entries);

} // namespace cassia::membership

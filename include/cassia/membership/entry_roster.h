/// Incremental distribution of the list of entries in a large cluster: a keeper's list, which has
/// revisions, and an entry's copy of the list of one keeper at a time. Does no I/O; the time is
/// passed in.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"
#include "cassia/schema/messages.pb.h"

#include <cstdint>
#include <map>
#include <string>

namespace cassia::membership {

/// A keeper's list of the alive entries.
class entry_roster {
public:
    /// \param epoch identifies this list; differs after a restart of the keeper.
    /// \param unresponsive_after time without a heartbeat after which an entry counts as lost.
    entry_roster(std::uint64_t epoch, milliseconds unresponsive_after)
        : epoch_(epoch), unresponsive_after_(unresponsive_after) {}

    void observe(const schema::entry_hello& heartbeat, instant now);
    /// Marks entries without a heartbeat for `unresponsive_after` as lost, and removes them after a
    /// minute without one.
    void mark_lost(instant now);
    std::uint64_t revision() const { return revision_; }
    /// Writes to a beacon (a keeper's reply to an entry) what changed since `revision` of the list
    /// with this epoch, or the whole list if its changes since then aren't known.
    void write(std::uint64_t epoch, std::uint64_t revision, schema::keeper_beacon& beacon,
               instant now) const;

private:
    struct known_entry {
        schema::entry_hello heartbeat;
        instant last_seen{};
        std::uint64_t changed_revision = 0; ///< revision of its last change
        bool lost = false;
    };

    std::uint64_t epoch_;
    milliseconds unresponsive_after_;
    std::map<std::string, known_entry> entries_;
    std::uint64_t revision_ = 1;
    std::uint64_t forgotten_revision_ = 0; ///< newest change of any removed entry
};

/// An entry's copy of a keeper's list.
class roster_copy {
public:
    /// \param self name of this entry, which is left out of the list.
    explicit roster_copy(std::string self) : self_(std::move(self)) {}

    /// Sets the keeper to copy from.
    /// \returns whether that is another one than before.
    bool follow(const peer_address& source);
    /// Writes the epoch and revision of this copy, so that the keeper sends what changed since.
    void write(schema::entry_hello& heartbeat) const;
    /// Applies the list, or its changes, in a beacon of the keeper. \returns whether the list
    /// changed.
    bool apply_beacon(const peer_address& keeper, const schema::keeper_beacon& beacon);
    const std::map<entry_id, schema::entry_hello>& entries() const { return entries_; }

private:
    std::string self_;
    peer_address source_;
    std::uint64_t epoch_ = 0;
    std::uint64_t revision_ = 0;
    std::map<entry_id, schema::entry_hello> entries_;
};

} // namespace cassia::membership

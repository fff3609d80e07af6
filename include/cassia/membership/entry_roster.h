/// The entries of a large fleet, passed on as changes: a keeper's list with revisions, and an
/// entry's copy of the list of one keeper at a time. Pure.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"
#include "cassia/schema/messages.pb.h"

#include <cstdint>
#include <map>
#include <string>

namespace cassia::membership {

/// A keeper's list of the entries that live.
class entry_roster {
public:
    /// \param epoch names this list; another one after a restart of the keeper.
    /// \param silent_after without a hello for this long an entry doesn't live.
    entry_roster(std::uint64_t epoch, milliseconds silent_after)
        : epoch_(epoch), silent_after_(silent_after) {}

    void observe(const schema::entry_hello& hello, instant now);
    /// Notes who fell silent.
    void mark_lost(instant now);
    std::uint64_t revision() const { return revision_; }
    /// Writes what a listener lacks that has this list up to a revision.
    void write(std::uint64_t epoch, std::uint64_t revision, schema::keeper_beacon& beacon,
               instant now) const;

private:
    struct member {
        schema::entry_hello hello;
        instant seen{};
        std::uint64_t changed_at = 0; ///< revision
        bool lost = false;
    };

    std::uint64_t epoch_;
    milliseconds silent_after_;
    std::map<std::string, member> members_;
    std::uint64_t revision_ = 1;
    std::uint64_t forgotten_at_ = 0; ///< revision up to which lost members were forgotten
};

/// An entry's copy of a keeper's list.
class roster_copy {
public:
    /// \param self not listed.
    explicit roster_copy(std::string self) : self_(std::move(self)) {}

    /// The keeper to copy from, from now on.
    void follow(const peer_address& source);
    /// What the source is told, so that it sends what is missing.
    void write(schema::entry_hello& hello) const;
    /// \returns whether the list changed.
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

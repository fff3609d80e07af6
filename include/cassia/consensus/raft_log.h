/// In-memory log of one Raft group since its last snapshot, with the memberships that it records.
#pragma once

#include "cassia/base/ids.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace cassia::schema {
class group_members;
class log_entry;
} // namespace cassia::schema

namespace cassia::consensus {

struct member {
    disk_id disk;
    std::string node;    ///< the keeper's name
    std::string address; ///< IP:PORT of its peer socket
    bool voter = false;  ///< false: learner
};

using member_list = std::vector<member>;

member_list members_from_proto(const schema::group_members& proto);
schema::group_members members_to_proto(const member_list& members);

/// Start of a log: index and term of the last entry that the snapshot covers, and the members then.
struct log_base {
    std::uint64_t index = 0;
    term_number term;
    member_list members;
};

using log_entry_ptr = std::shared_ptr<const schema::log_entry>;

class raft_log {
public:
    explicit raft_log(log_base base);

    std::uint64_t base_index() const { return base_.index; }
    std::uint64_t last_index() const { return base_.index + entries_.size(); }
    term_number last_term() const;
    /// The term of an entry between base_index() and last_index().
    term_number term_at(std::uint64_t index) const;
    /// Whether the log has an entry with this index and term.
    bool holds(std::uint64_t index, term_number term) const;
    const log_entry_ptr& at(std::uint64_t index) const;

    /// Appends an entry; its index must follow that of the last one.
    void append(log_entry_ptr entry);
    /// Removes the entries after `index`.
    void truncate_after(std::uint64_t index);
    /// Removes the entries up to and including `index`, which a snapshot covers.
    void compact(std::uint64_t index);
    /// Replaces the whole log by a snapshot received from the leader.
    void reset(log_base base);

    /// The latest membership in the log, whether committed or not.
    const member_list& members() const;
    /// The membership as of `index`, which must not be below base_index().
    const member_list& members_at(std::uint64_t index) const;
    /// Index of the entry that set members(); base_index() if it comes from the snapshot.
    std::uint64_t members_index() const;

private:
    log_base base_;
    std::deque<log_entry_ptr> entries_;
    std::vector<std::pair<std::uint64_t, member_list>> membership_changes_; ///< by entry index
};

} // namespace cassia::consensus
